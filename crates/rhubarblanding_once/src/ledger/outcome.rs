//! Outcomes of dispatched requests and their spreading to the other member of the placement.

use std::sync::Arc;

use rhubarblanding_core::collections::HashMap;
use rhubarblanding_core::error::ErrorKind;
use rhubarblanding_core::ids::IdempotencyKey;

use super::active::{Attempt, Stage, Timer};
use super::record::{AttemptKey, Record, State};
use super::{CallerId, Ledger, Outcome, Output};
use crate::answer::Fingerprint;
use crate::message::{Kept, PeerMessage, RunId};
use crate::table::MemberId;
use crate::time::Now;

/// Number of times that each recorded answer may still be sent, by key.
pub(super) type Unacknowledged = HashMap<IdempotencyKey, u8>;

impl Ledger {
    /// Takes the outcome of a try that this node dispatched.
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
            self.on_settled(now, key, run, outcome, out);
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
                out.push(Output::AskOutcome { key, run });
                return;
            }
        }
        self.send_recorded(now, key, self.settings.recorded_sends, out);
    }

    /// Takes the outcome of a lost try, learned later.
    fn on_settled(
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
        self.send_recorded(now, key, self.settings.recorded_sends, out);
    }

    fn kept_state(&self, answer: Arc<crate::answer::RecordedAnswer>) -> State {
        if answer.size_bytes() > self.settings.max_answer_bytes {
            return State::NotKept;
        }
        State::Answered(answer)
    }

    /// Refuses the callers that joined a try whose answer is not kept.
    fn refuse_joined(&self, attempt: &Attempt, out: &mut Vec<Output>) {
        let joined = |caller: &&CallerId| Some(**caller) != attempt.dispatched_for;
        for caller in attempt.waiters.iter().filter(joined) {
            self.refuse(*caller, ErrorKind::AnswerNotKept, out);
        }
    }

    /// Ends a try as home with what the copy knows of the key.
    pub(super) fn finish(&mut self, attempt: AttemptKey, kept: Kept, out: &mut Vec<Output>) {
        let Some(attempt) = self.close(attempt) else {
            return;
        };
        let state = match kept {
            Kept::Answer(answer) => {
                let answer = Arc::new(answer);
                self.answer_all(&attempt.waiters, &answer, out);
                State::Answered(answer)
            }
            Kept::NotKept => {
                self.refuse_all(&attempt.waiters, ErrorKind::AnswerNotKept, out);
                State::NotKept
            }
        };
        self.records.set_state(attempt.key, state);
    }

    /// The other member of a key's placement, if this node is one of the two.
    fn partner(&self, key: IdempotencyKey) -> Option<MemberId> {
        let placement = self.epoch_of(key)?.place(key)?;
        let copy = placement.copy?;
        if self.is_me(placement.home) {
            return Some(copy);
        }
        self.is_me(copy).then_some(placement.home)
    }

    fn send_release(&self, key: IdempotencyKey, run: RunId, out: &mut Vec<Output>) {
        if let Some(to) = self.partner(key) {
            let msg = PeerMessage::Release { key, run };
            out.push(Output::Send { to, msg });
        }
    }

    /// Sends what is kept of a key to the partner and waits for the acknowledgement.
    fn send_recorded(
        &mut self,
        now: Now,
        key: IdempotencyKey,
        sends_left: u8,
        out: &mut Vec<Output>,
    ) {
        let Some((to, msg)) = self.partner(key).zip(self.recorded_message(key)) else {
            self.unacknowledged.remove(&key);
            return;
        };
        out.push(Output::Send { to, msg });
        if sends_left <= 1 {
            self.unacknowledged.remove(&key);
            return;
        }
        self.unacknowledged.insert(key, sends_left - 1);
        let due = now.mono + self.settings.recorded_retry;
        self.timers.subscribe(due, Timer::Recorded(key));
    }

    pub(super) fn resend_recorded(&mut self, now: Now, key: IdempotencyKey, out: &mut Vec<Output>) {
        if let Some(sends_left) = self.unacknowledged.get(&key).copied() {
            self.send_recorded(now, key, sends_left, out);
        }
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

    /// Records that the partner ran a key.
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
        let from_partner = self.partner(key).is_some_and(|id| self.is_same(id, from));
        let record = self.records.get(key);
        if !from_partner || !record.is_none_or(Record::is_prepared) {
            return;
        }
        let max = self.settings.max_records;
        if record.is_none() && !self.records.make_room(max, key.minted_at()) {
            return;
        }
        let state = match kept {
            Kept::Answer(answer) => State::Answered(Arc::new(answer)),
            Kept::NotKept => State::NotKept,
        };
        self.records.insert(key, Record { fingerprint, state });
    }

    pub(super) fn on_recorded_ack(&mut self, key: IdempotencyKey) {
        self.unacknowledged.remove(&key);
    }
}
