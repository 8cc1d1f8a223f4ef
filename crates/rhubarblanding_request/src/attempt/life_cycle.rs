//! Typestate of an attempt: planned, sent, then answered or lost.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use crate::allowance::{AllowanceLedger, Lent};

/// The attempt has a target, but no byte of it was sent.
#[derive(Debug)]
pub struct Planned;

/// Bytes of the attempt may have reached the target.
#[derive(Debug)]
pub struct Sent {
    at: MonoTime,
}

/// The answer came.
#[derive(Debug)]
pub struct Answered {
    latency: Duration,
    returned: u8,
}

/// The answer will not come; whether the request ran is not known.
#[derive(Debug)]
pub struct Lost {
    after: Duration,
}

/// One attempt, in one of the states [`Planned`], [`Sent`], [`Answered`] and [`Lost`].
#[derive(Debug)]
pub struct Attempt<S> {
    number: u8,
    host: HostId,
    lent: Lent,
    state: S,
}

impl<S> Attempt<S> {
    /// Number of the attempt, from one.
    pub fn number(&self) -> u8 {
        self.number
    }

    /// Target of the attempt.
    pub fn host(&self) -> HostId {
        self.host
    }

    /// Number of retries that travel with the attempt.
    pub fn lent(&self) -> u8 {
        self.lent.amount()
    }

    fn into_state<T>(self, state: T) -> Attempt<T> {
        Attempt {
            number: self.number,
            host: self.host,
            lent: self.lent,
            state,
        }
    }
}

impl Attempt<Planned> {
    /// Plans attempt `number` at `host`.
    pub fn new(number: u8, host: HostId, lent: Lent) -> Self {
        Self {
            number,
            host,
            lent,
            state: Planned,
        }
    }

    /// Marks the attempt as sent. Call it before the first byte leaves.
    pub fn send(self, now: MonoTime) -> Attempt<Sent> {
        self.into_state(Sent { at: now })
    }

    /// Gives up the attempt; everything lent goes back.
    pub fn abandon(self, ledger: &mut AllowanceLedger) {
        let amount = self.lent.amount();
        ledger.give_back(self.lent, amount);
    }
}

impl Attempt<Sent> {
    /// Records the answer and the retries that came back with it.
    pub fn answered(self, now: MonoTime, returned: u8) -> Attempt<Answered> {
        let latency = now.since(self.state.at);
        self.into_state(Answered { latency, returned })
    }

    /// Records that nothing of the attempt left this node; everything lent goes back.
    pub fn not_sent(self, ledger: &mut AllowanceLedger) {
        let amount = self.lent.amount();
        ledger.give_back(self.lent, amount);
    }

    /// Records that no answer will come.
    pub fn lost(self, now: MonoTime) -> Attempt<Lost> {
        let after = now.since(self.state.at);
        self.into_state(Lost { after })
    }
}

impl Attempt<Answered> {
    /// Time from sending to the answer.
    pub fn latency(&self) -> Duration {
        self.state.latency
    }

    /// Gives the returned retries back to the request.
    pub fn settle(self, ledger: &mut AllowanceLedger) {
        ledger.give_back(self.lent, self.state.returned);
    }
}

impl Attempt<Lost> {
    /// Time from sending to the loss.
    pub fn after(&self) -> Duration {
        self.state.after
    }

    /// Ends the attempt; what was lent counts as spent.
    pub fn settle(self, ledger: &mut AllowanceLedger) {
        ledger.give_back(self.lent, 0);
    }
}
