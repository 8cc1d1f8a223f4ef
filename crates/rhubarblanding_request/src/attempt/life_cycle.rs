//! Typestate of an attempt: planned, sent, then answered or lost.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use crate::allowance::{AllowanceLedger, Lent};

/// State of an attempt that has a target, but of which no byte was sent.
#[derive(Debug)]
pub struct Planned;

/// State of an attempt of which bytes may have reached the target.
#[derive(Debug)]
pub struct Sent {
    at: MonoTime,
}

/// State of an attempt whose answer was received.
#[derive(Debug)]
pub struct Answered {
    latency: Duration,
    returned: u8,
}

/// State of an attempt that will get no answer; whether the request ran is unknown.
#[derive(Debug)]
pub struct Lost {
    elapsed: Duration,
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
    /// Returns the number of the attempt, counted from one.
    pub fn number(&self) -> u8 {
        self.number
    }

    /// Returns the target of the attempt.
    pub fn host(&self) -> HostId {
        self.host
    }

    /// Returns the number of retries lent with the attempt.
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
    /// Plans attempt `number` with the target `host`.
    pub fn new(number: u8, host: HostId, lent: Lent) -> Self {
        Self {
            number,
            host,
            lent,
            state: Planned,
        }
    }

    /// Marks the attempt as sent. Call this before the first byte is sent.
    pub fn send(self, now: MonoTime) -> Attempt<Sent> {
        self.into_state(Sent { at: now })
    }

    /// Abandons the attempt and gives back all lent retries.
    pub fn abandon(self, ledger: &mut AllowanceLedger) {
        let amount = self.lent.amount();
        ledger.give_back(self.lent, amount);
    }
}

impl Attempt<Sent> {
    /// Records the answer and the retries returned with it.
    pub fn answered(self, now: MonoTime, returned: u8) -> Attempt<Answered> {
        let latency = now.since(self.state.at);
        self.into_state(Answered { latency, returned })
    }

    /// Records that no byte of the attempt left this node and gives back all lent retries.
    pub fn not_sent(self, ledger: &mut AllowanceLedger) {
        let amount = self.lent.amount();
        ledger.give_back(self.lent, amount);
    }

    /// Records that no answer will be received.
    pub fn lost(self, now: MonoTime) -> Attempt<Lost> {
        let elapsed = now.since(self.state.at);
        self.into_state(Lost { elapsed })
    }
}

impl Attempt<Answered> {
    /// Returns the time from sending to the answer.
    pub fn latency(&self) -> Duration {
        self.state.latency
    }

    /// Gives the returned retries back to the request.
    pub fn settle(self, ledger: &mut AllowanceLedger) {
        ledger.give_back(self.lent, self.state.returned);
    }
}

impl Attempt<Lost> {
    /// Returns the time from sending to the loss.
    pub fn elapsed(&self) -> Duration {
        self.state.elapsed
    }

    /// Ends the attempt; the lent retries count as spent.
    pub fn settle(self, ledger: &mut AllowanceLedger) {
        ledger.give_back(self.lent, 0);
    }
}
