//! Requesting votes as home or copy of a key.

use rhubarblanding_core::error::ErrorKind;
use rhubarblanding_core::ids::IdempotencyKey;

use super::active::{Attempt, Stage, Timer};
use super::record::AttemptKey;
use super::{AttemptRequest, Ledger, Output};
use crate::message::{PeerMessage, RunId, VoteRefusal};
use crate::table::{MemberId, Placement};
use crate::time::Now;

impl Ledger {
    /// Requests the vote of the copy, and that of the witness if the copy does not answer soon.
    pub(super) fn start_as_home(
        &mut self,
        now: Now,
        req: AttemptRequest,
        placement: Placement,
        out: &mut Vec<Output>,
    ) {
        let attempt = self.open(now, req, placement);
        let Some(copy) = placement.copy else {
            self.dispatch(attempt, out);
            return;
        };
        self.request_vote(attempt, copy, out);
        let due = now.mono + self.settings.fallback_after;
        self.set_timer(attempt, due, Timer::Fallback(attempt));
        if !self.settings.safeguards.copy_ack {
            self.dispatch(attempt, out);
        }
    }

    /// Requests the votes of home and witness to run a key in place of its home.
    pub(super) fn start_as_substitute(
        &mut self,
        now: Now,
        req: AttemptRequest,
        placement: Placement,
        out: &mut Vec<Output>,
    ) {
        let attempt = self.open(now, req, placement);
        let due = now.mono + self.settings.prepare_timeout;
        self.set_timer(attempt, due, Timer::Decision(attempt));
        self.request_vote(attempt, placement.home, out);
        if let Some(witness) = placement.witness {
            self.request_vote(attempt, witness, out);
        }
        if !self.settings.safeguards.witness {
            self.dispatch(attempt, out);
        }
    }

    /// Requests the vote of one member, if it may decide on the key together with this node.
    fn request_vote(&mut self, attempt_key: AttemptKey, to: MemberId, out: &mut Vec<Output>) {
        let Some(attempt) = self.attempts.get(attempt_key) else {
            return;
        };
        let key = attempt.key;
        let is_requested = attempt.voters.contains(&to);
        let fingerprint = self.records.get(key).map(|record| record.fingerprint);
        let Some(fingerprint) = fingerprint.filter(|_| !is_requested && self.pairs_with(key, to))
        else {
            return;
        };
        let Some(attempt) = self.attempts.get_mut(attempt_key) else {
            return;
        };
        attempt.voters.push(to);
        let msg = PeerMessage::Prepare {
            epoch: attempt.placement.epoch,
            key,
            fingerprint,
            run: attempt.run,
        };
        out.push(Output::Send { to, msg });
    }

    /// Requests the vote of the witness in place of a copy that does not vote.
    pub(super) fn fall_back(&mut self, attempt: AttemptKey, out: &mut Vec<Output>) {
        let deciding = self.attempts.get(attempt);
        let deciding = deciding.filter(|attempt| attempt.stage == Stage::Deciding);
        if let Some(witness) = deciding.and_then(|attempt| attempt.placement.witness) {
            self.request_vote(attempt, witness, out);
        }
    }

    pub(super) fn on_prepare_ack(
        &mut self,
        from: MemberId,
        key: IdempotencyKey,
        run: RunId,
        out: &mut Vec<Output>,
    ) {
        let attempt = if self.settings.safeguards.run_check {
            self.active_run(key, Stage::Deciding, run)
        } else {
            self.active(key, Stage::Deciding)
        };
        if let Some(attempt) = attempt.filter(|attempt| self.is_vote_requested(*attempt, from)) {
            self.dispatch(attempt, out);
        }
    }

    pub(super) fn on_prepare_refused(
        &mut self,
        from: MemberId,
        key: IdempotencyKey,
        run: RunId,
        reason: VoteRefusal,
        out: &mut Vec<Output>,
    ) {
        let attempt = self.active_run(key, Stage::Deciding, run);
        let Some(attempt) = attempt.filter(|attempt| self.is_vote_requested(*attempt, from)) else {
            return;
        };
        let failure = match reason {
            VoteRefusal::Ran(kept) => return self.finish(attempt, kept, out),
            VoteRefusal::Conflict => return self.give_up(attempt, ErrorKind::KeyConflict, out),
            VoteRefusal::OtherEpoch => None,
            VoteRefusal::FromFuture => Some(ErrorKind::KeyFromFuture),
            VoteRefusal::Full => Some(ErrorKind::Overloaded),
            VoteRefusal::InProgress => Some(ErrorKind::KeyInProgress),
            VoteRefusal::Evicted | VoteRefusal::OutcomeUnknown => Some(ErrorKind::OutcomeUnknown),
        };
        self.proceed_without(attempt, from, failure, out);
    }

    /// Proceeds without a member in each attempt that waits for its vote.
    pub(super) fn on_unreachable(&mut self, member: MemberId, out: &mut Vec<Output>) {
        let waits = |attempt: &Attempt| {
            attempt.stage == Stage::Deciding && attempt.voters.contains(&member)
        };
        let waiting = self.attempts.iter().filter(|(_, attempt)| waits(attempt));
        let waiting: Vec<AttemptKey> = waiting.map(|(key, _)| key).collect();
        for attempt in waiting {
            self.proceed_without(attempt, member, None, out);
        }
    }

    /// Proceeds without the vote of a member, and gives up if no other vote is pending.
    fn proceed_without(
        &mut self,
        attempt_key: AttemptKey,
        from: MemberId,
        failure: Option<ErrorKind>,
        out: &mut Vec<Output>,
    ) {
        self.fall_back(attempt_key, out);
        let Some(attempt) = self.attempts.get_mut(attempt_key) else {
            return;
        };
        if !attempt.refused_by.contains(&from) {
            attempt.refused_by.push(from);
        }
        attempt.failure = failure.unwrap_or(attempt.failure);
        let failure = attempt.failure;
        if attempt.refused_by.len() == attempt.voters.len() {
            self.give_up(attempt_key, failure, out);
        }
    }

    fn is_vote_requested(&self, attempt: AttemptKey, id: MemberId) -> bool {
        let attempt = self.attempts.get(attempt);
        attempt.is_some_and(|attempt| attempt.voters.iter().any(|voter| self.is_same(*voter, id)))
    }
}
