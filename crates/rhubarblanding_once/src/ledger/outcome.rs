//! Outcomes of dispatched requests and their distribution to the other members that decide
//! on a key.

use std::sync::Arc;

use rhubarblanding_core::collections::HashMap;
use rhubarblanding_core::error::ErrorKind;
use rhubarblanding_core::ids::IdempotencyKey;
use rhubarblanding_core::timer::TimerKey;

use super::active::{Attempt, Stage, Timer};
use super::record::{AttemptKey, Record, State};
use super::{CallerId, Ledger, Outcome, Output};
use crate::answer::{Fingerprint, RecordedAnswer};
use crate::message::{Kept, PeerMessage, RunId};
use crate::table::MemberId;
use crate::time::Now;

/// A recorded answer that was not acknowledged by all members that need it.
#[derive(Clone, Debug)]
pub(super) struct Resend {
    to: Vec<MemberId>,
    sends_left: u8,
    timer: Option<TimerKey>,
}

/// Recorded answers that were not acknowledged, by key.
pub(super) type Unacknowledged = HashMap<IdempotencyKey, Resend>;

impl Ledger {
    /// Handles the outcome of an attempt that this node dispatched.
    pub(super) fn on_outcome(
        &mut self,
        now: Now,
        key: IdempotencyKey,
        run: RunId,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        if let Some(attempt) = self.active_run(key, Stage::Running, run) {
            self.on_running_outcome(now, attempt, outcome, out);
            return;
        }
        let state = self.records.get(key).map(|record| &record.state);
        if matches!(state, Some(State::Lost(lost)) if *lost == run) {
            self.on_late_outcome(now, key, run, outcome, out);
        }
    }

    fn on_running_outcome(
        &mut self,
        now: Now,
        attempt_key: AttemptKey,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        if outcome == Outcome::Shed {
            self.give_up(attempt_key, ErrorKind::BackendShed, out);
            return;
        }
        let Some(attempt) = self.close(attempt_key) else {
            return;
        };
        let (key, run) = (attempt.key, attempt.run);
        match outcome {
            Outcome::Answered(answer) => {
                let answer = Arc::new(answer);
                self.answer_all(&attempt.waiters, &answer, out);
                let state = self.kept_state(answer);
                self.records.set_state(key, state);
            }
            Outcome::Streamed => {
                self.refuse_joined(&attempt, out);
                self.records.set_state(key, State::NotKept);
            }
            Outcome::Lost | Outcome::Shed => {
                self.refuse_all(&attempt.waiters, ErrorKind::OutcomeUnknown, out);
                self.records.set_state(key, State::Lost(run));
                out.push(Output::QueryOutcome { key, run });
                return;
            }
        }
        self.send_recorded(now, key, attempt.voters, out);
    }

    /// Handles the queried outcome of an attempt whose connection was lost.
    fn on_late_outcome(
        &mut self,
        now: Now,
        key: IdempotencyKey,
        run: RunId,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        let state = match outcome {
            Outcome::Answered(answer) => self.kept_state(Arc::new(answer)),
            Outcome::Streamed => State::NotKept,
            Outcome::Lost => return,
            Outcome::Shed => {
                self.records.remove(key);
                self.send_release(key, run, out);
                return;
            }
        };
        self.records.set_state(key, state);
        self.send_recorded(now, key, self.partners(key), out);
    }

    fn kept_state(&self, answer: Arc<RecordedAnswer>) -> State {
        if answer.size_bytes() > self.settings.max_answer_bytes {
            return State::NotKept;
        }
        State::Answered(answer)
    }

    /// Refuses the callers that joined an attempt whose answer is not kept.
    fn refuse_joined(&self, attempt: &Attempt, out: &mut Vec<Output>) {
        let joined = |caller: &&CallerId| Some(**caller) != attempt.dispatched_for;
        for caller in attempt.waiters.iter().filter(joined) {
            self.refuse(*caller, ErrorKind::AnswerNotKept, out);
        }
    }

    /// Ends an attempt with the result that another member has recorded.
    pub(super) fn finish(&mut self, attempt: AttemptKey, kept: Kept, out: &mut Vec<Output>) {
        let Some(attempt) = self.close(attempt) else {
            return;
        };
        let state = match kept {
            Kept::Answer(answer) => {
                let answer = Arc::new(answer);
                self.answer_all(&attempt.waiters, &answer, out);
                self.kept_state(answer)
            }
            Kept::NotKept => {
                self.refuse_all(&attempt.waiters, ErrorKind::AnswerNotKept, out);
                State::NotKept
            }
        };
        self.records.set_state(attempt.key, state);
    }

    /// Returns the other members that decide on a key.
    fn partners(&self, key: IdempotencyKey) -> Vec<MemberId> {
        let Some(placement) = self.placement(key) else {
            return Vec::new();
        };
        let members = [Some(placement.home), placement.copy, placement.witness];
        let others = members.into_iter().flatten();
        others.filter(|id| !self.is_me(*id)).collect()
    }

    fn send_release(&self, key: IdempotencyKey, run: RunId, out: &mut Vec<Output>) {
        out.extend(self.partners(key).into_iter().map(|to| Output::Send {
            to,
            msg: PeerMessage::Release { key, run },
        }));
    }

    /// Sends the retained result of a key to members that voted for it, until they acknowledge it.
    fn send_recorded(
        &mut self,
        now: Now,
        key: IdempotencyKey,
        to: Vec<MemberId>,
        out: &mut Vec<Output>,
    ) {
        if to.is_empty() {
            return;
        }
        let sends_left = self.settings.recorded_sends;
        let timer = None;
        let resend = Resend {
            to,
            sends_left,
            timer,
        };
        self.unacknowledged.insert(key, resend);
        self.resend_recorded(now, key, out);
    }

    pub(super) fn resend_recorded(&mut self, now: Now, key: IdempotencyKey, out: &mut Vec<Output>) {
        let Some(mut resend) = self.unacknowledged.remove(&key) else {
            return;
        };
        let Some(msg) = self.recorded_message(key).filter(|_| resend.sends_left > 0) else {
            return;
        };
        out.extend(resend.to.iter().map(|to| Output::Send {
            to: *to,
            msg: msg.clone(),
        }));
        resend.sends_left -= 1;
        let due = now.mono + self.settings.recorded_retry;
        resend.timer = Some(self.timers.subscribe(due, Timer::Recorded(key)));
        self.unacknowledged.insert(key, resend);
    }

    fn recorded_message(&self, key: IdempotencyKey) -> Option<PeerMessage> {
        let record = self.records.get(key)?;
        let kept = match &record.state {
            State::Answered(answer) => Kept::Answer(answer.as_ref().clone()),
            State::NotKept => Kept::NotKept,
            State::Active(_) | State::Prepared(_) | State::Lost(_) => return None,
        };
        Some(PeerMessage::Recorded {
            key,
            fingerprint: record.fingerprint,
            kept,
        })
    }

    /// Records that another member ran a key.
    pub(super) fn on_recorded(
        &mut self,
        from: MemberId,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        kept: Kept,
        out: &mut Vec<Output>,
    ) {
        let msg = PeerMessage::RecordedAck { key };
        out.push(Output::Send { to: from, msg });
        let record = self.records.get(key);
        let is_open = record.is_none_or(|record| record.vote().is_some());
        if !is_open || self.runner(key, from).is_none() || !self.decides_on(key) {
            return;
        }
        let max = self.settings.max_records;
        if record.is_none() && !self.records.make_room(max, key.minted_at()) {
            return;
        }
        let state = match kept {
            Kept::Answer(answer) => self.kept_state(Arc::new(answer)),
            Kept::NotKept => State::NotKept,
        };
        self.records.insert(key, Record { fingerprint, state });
    }

    fn decides_on(&self, key: IdempotencyKey) -> bool {
        let placement = self.placement(key);
        placement.is_some_and(|placement| {
            let members = [Some(placement.home), placement.copy, placement.witness];
            members.into_iter().flatten().any(|id| self.is_me(id))
        })
    }

    pub(super) fn on_recorded_ack(&mut self, from: MemberId, key: IdempotencyKey) {
        let Some(resend) = self.unacknowledged.get_mut(&key) else {
            return;
        };
        resend.to.retain(|id| *id != from);
        if !resend.to.is_empty() {
            return;
        }
        if let Some(timer) = resend.timer {
            self.timers.cancel(timer);
        }
        self.unacknowledged.remove(&key);
    }

    /// Sends the outcome of an attempt of this node to a member that voted for it.
    pub(super) fn on_query(
        &mut self,
        from: MemberId,
        key: IdempotencyKey,
        run: RunId,
        out: &mut Vec<Output>,
    ) {
        let msg = match self.records.get(key) {
            Some(_) => self.recorded_message(key),
            None if self.is_evicted(key.minted_at()) => None,
            None => Some(PeerMessage::Release { key, run }),
        };
        out.extend(msg.map(|msg| Output::Send { to: from, msg }));
    }
}
