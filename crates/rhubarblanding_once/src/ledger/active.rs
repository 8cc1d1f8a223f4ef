//! Attempts in progress and the callers that wait for them.

use std::sync::Arc;

use rhubarblanding_core::error::ErrorKind;
use rhubarblanding_core::ids::IdempotencyKey;
use rhubarblanding_core::time::MonoTime;
use rhubarblanding_core::timer::TimerKey;

use super::record::{AttemptKey, Record, State};
use super::{AttemptRequest, CallerId, Ledger, Output};
use crate::answer::RecordedAnswer;
use crate::message::{PeerMessage, RunId};
use crate::table::{MemberId, Placement};
use crate::time::Now;

/// Event that an attempt waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Vote of another member.
    Deciding,
    /// Outcome from the backend server.
    Running,
}

/// One attempt to run a key at this node.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub key: IdempotencyKey,
    pub run: RunId,
    pub stage: Stage,
    pub placement: Placement,
    /// Members whose vote was requested.
    pub voters: Vec<MemberId>,
    /// Members that cannot decide on the key.
    pub refused_by: Vec<MemberId>,
    /// Reason for giving up the attempt if no vote arrives.
    pub failure: ErrorKind,
    /// Callers that wait, the first of which provides the request.
    pub waiters: Vec<CallerId>,
    /// Caller whose request was sent to the backend server.
    pub dispatched_for: Option<CallerId>,
    /// Time at which the attempt is given up without a vote.
    pub deadline: MonoTime,
    timer: Option<TimerKey>,
}

/// Timer of a ledger.
#[derive(Clone, Copy, Debug)]
pub(super) enum Timer {
    /// An attempt waited too long for votes.
    Decision(AttemptKey),
    /// The copy has not voted yet.
    Fallback(AttemptKey),
    /// A recorded answer was not acknowledged.
    Recorded(IdempotencyKey),
}

impl Ledger {
    /// Creates an attempt and the record that points to it.
    pub(super) fn open(
        &mut self,
        now: Now,
        req: AttemptRequest,
        placement: Placement,
    ) -> AttemptKey {
        self.record_mint(req.key);
        let run = self.next_run;
        self.next_run = RunId(run.0 + 1);
        let attempt = self.attempts.insert(Attempt {
            key: req.key,
            run,
            stage: Stage::Deciding,
            placement,
            voters: Vec::new(),
            refused_by: Vec::new(),
            failure: ErrorKind::HomeUnavailable,
            waiters: vec![req.caller],
            dispatched_for: None,
            deadline: now.mono + self.settings.prepare_timeout,
            timer: None,
        });
        let record = Record {
            fingerprint: req.fingerprint,
            state: State::Active(attempt),
        };
        self.records.insert(req.key, record);
        attempt
    }

    /// Adds a caller to an attempt.
    pub(super) fn join(&mut self, attempt: AttemptKey, caller: CallerId) {
        if let Some(attempt) = self.attempts.get_mut(attempt) {
            attempt.waiters.push(caller);
        }
    }

    /// Returns the attempt of a key, if it is in the given stage.
    pub(super) fn active(&self, key: IdempotencyKey, stage: Stage) -> Option<AttemptKey> {
        let State::Active(attempt) = self.records.get(key)?.state else {
            return None;
        };
        (self.attempts.get(attempt)?.stage == stage).then_some(attempt)
    }

    /// Returns the attempt of a key, if it is in the given stage and has the given number.
    pub(super) fn active_run(
        &self,
        key: IdempotencyKey,
        stage: Stage,
        run: RunId,
    ) -> Option<AttemptKey> {
        let attempt = self.active(key, stage)?;
        (self.attempts.get(attempt)?.run == run).then_some(attempt)
    }

    /// Sends an attempt to the backend server, unless a newer table has moved the key.
    pub(super) fn dispatch(&mut self, attempt_key: AttemptKey, out: &mut Vec<Output>) {
        let Some(attempt) = self.attempts.get(attempt_key) else {
            return;
        };
        let caller = attempt.waiters.first().copied();
        let current = self.is_current(attempt.key, attempt.placement);
        let (true, Some(caller)) = (current, caller) else {
            self.give_up(attempt_key, ErrorKind::HomeUnavailable, out);
            return;
        };
        self.cancel_timer(attempt_key);
        let Some(attempt) = self.attempts.get_mut(attempt_key) else {
            return;
        };
        attempt.stage = Stage::Running;
        attempt.dispatched_for = Some(caller);
        out.push(Output::Dispatch {
            key: attempt.key,
            run: attempt.run,
            caller,
        });
    }

    /// Ends an attempt and returns it. The record still points to it.
    pub(super) fn close(&mut self, attempt: AttemptKey) -> Option<Attempt> {
        self.cancel_timer(attempt);
        self.attempts.remove(attempt)
    }

    /// Ends an attempt that was not dispatched, or not run, and frees its key.
    pub(super) fn give_up(&mut self, attempt: AttemptKey, kind: ErrorKind, out: &mut Vec<Output>) {
        let Some(attempt) = self.close(attempt) else {
            return;
        };
        self.records.remove(attempt.key);
        self.refuse_all(&attempt.waiters, kind, out);
        self.release(&attempt, out);
    }

    /// Notifies the members whose vote was requested that an attempt has ended without running.
    fn release(&self, attempt: &Attempt, out: &mut Vec<Output>) {
        let (key, run) = (attempt.key, attempt.run);
        out.extend(attempt.voters.iter().map(|to| Output::Send {
            to: *to,
            msg: PeerMessage::Release { key, run },
        }));
    }

    /// Removes a caller that no longer waits, and gives up its attempt if no caller is left and it
    /// is not running.
    pub(super) fn on_disconnect(
        &mut self,
        caller: CallerId,
        key: IdempotencyKey,
        out: &mut Vec<Output>,
    ) {
        let Some(State::Active(active)) = self.records.get(key).map(|record| &record.state) else {
            return;
        };
        let active = *active;
        let Some(attempt) = self.attempts.get_mut(active) else {
            return;
        };
        attempt.waiters.retain(|waiter| *waiter != caller);
        if attempt.waiters.is_empty() && attempt.stage != Stage::Running {
            self.give_up(active, ErrorKind::HomeUnavailable, out);
        }
    }

    pub(super) fn answer_all(
        &self,
        waiters: &[CallerId],
        answer: &Arc<RecordedAnswer>,
        out: &mut Vec<Output>,
    ) {
        out.extend(waiters.iter().map(|caller| Output::Answer {
            caller: *caller,
            answer: answer.clone(),
        }));
    }

    pub(super) fn refuse_all(&self, waiters: &[CallerId], kind: ErrorKind, out: &mut Vec<Output>) {
        for caller in waiters {
            self.refuse(*caller, kind, out);
        }
    }

    pub(super) fn expire_timers(&mut self, now: Now, out: &mut Vec<Output>) {
        for timer in self.timers.expire(now.mono) {
            match timer {
                Timer::Decision(attempt) => self.time_out(attempt, out),
                Timer::Fallback(attempt) => self.on_fallback(now, attempt, out),
                Timer::Recorded(key) => self.resend_recorded(now, key, out),
            }
        }
    }

    fn on_fallback(&mut self, now: Now, attempt: AttemptKey, out: &mut Vec<Output>) {
        let Some(deadline) = self.attempts.get(attempt).map(|attempt| attempt.deadline) else {
            return;
        };
        if now.mono >= deadline {
            self.time_out(attempt, out);
            return;
        }
        self.fall_back(attempt, out);
        self.set_timer(attempt, deadline, Timer::Decision(attempt));
    }

    /// Gives up an attempt that got no vote in time.
    fn time_out(&mut self, attempt: AttemptKey, out: &mut Vec<Output>) {
        if let Some(failure) = self.attempts.get(attempt).map(|attempt| attempt.failure) {
            self.give_up(attempt, failure, out);
        }
    }

    /// Sets the timer of an attempt in place of its earlier one.
    pub(super) fn set_timer(&mut self, attempt: AttemptKey, due: MonoTime, timer: Timer) {
        self.cancel_timer(attempt);
        if let Some(attempt) = self.attempts.get_mut(attempt) {
            attempt.timer = Some(self.timers.subscribe(due, timer));
        }
    }

    fn cancel_timer(&mut self, attempt: AttemptKey) {
        let attempt = self.attempts.get_mut(attempt);
        if let Some(timer) = attempt.and_then(|attempt| attempt.timer.take()) {
            self.timers.cancel(timer);
        }
    }
}
