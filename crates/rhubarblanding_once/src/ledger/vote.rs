//! Voting on runs of other members.
//!
//! Home, copy and witness of a key each vote for the first member that requests it and keep
//! that vote until the attempt is released.

use rhubarblanding_core::ids::IdempotencyKey;

use super::record::{Record, Runner, State, Vote};
use super::{Ledger, Output};
use crate::answer::Fingerprint;
use crate::message::{Kept, PeerMessage, RunId, VoteRefusal};
use crate::table::{MemberId, Placement};
use crate::time::Now;

impl Ledger {
    /// Votes for an attempt of another member, or replies with the reason for the refusal.
    pub(super) fn on_prepare(
        &mut self,
        now: Now,
        from: MemberId,
        msg: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        let PeerMessage::Prepare {
            epoch,
            key,
            fingerprint,
            run,
        } = msg
        else {
            return;
        };
        let runner = self.runner(key, from);
        let located = self.locate(key).ok();
        let placed = located.is_some_and(|placement| placement.epoch == epoch);
        let Some(runner) = runner.filter(|_| placed && self.pairs_with(key, from)) else {
            let reason = VoteRefusal::OtherEpoch;
            refuse_vote(from, key, run, reason, out);
            return;
        };
        if self.is_from_future(now, key) {
            refuse_vote(from, key, run, VoteRefusal::FromFuture, out);
            return;
        }
        self.vote(from, key, fingerprint, Vote { runner, run }, out);
    }

    fn vote(
        &mut self,
        from: MemberId,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        vote: Vote,
        out: &mut Vec<Output>,
    ) {
        let run = vote.run;
        if self.is_outdated(key, vote) {
            return;
        }
        if let Err(reason) = self.check_vote(key, fingerprint, vote) {
            refuse_vote(from, key, run, reason, out);
            return;
        }
        self.record_mint(key);
        let state = State::Prepared(vote);
        self.records.insert(key, Record { fingerprint, state });
        let msg = PeerMessage::PrepareAck { key, run };
        out.push(Output::Send { to: from, msg });
    }

    /// Returns `true` if a delayed message names an earlier attempt than this node has voted for
    /// since.
    fn is_outdated(&self, key: IdempotencyKey, vote: Vote) -> bool {
        let held = self.records.get(key).and_then(Record::vote);
        held.is_some_and(|held| held.runner == vote.runner && vote.run < held.run)
    }

    fn check_vote(
        &mut self,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        vote: Vote,
    ) -> Result<(), VoteRefusal> {
        if let Some(record) = self.records.get(key) {
            return self.check_record(record, fingerprint, vote);
        }
        if self.is_evicted(key.minted_at()) {
            return Err(VoteRefusal::Evicted);
        }
        if !self
            .records
            .make_room(self.settings.max_records, key.minted_at())
        {
            return Err(VoteRefusal::Full);
        }
        Ok(())
    }

    fn check_record(
        &self,
        record: &Record,
        fingerprint: Fingerprint,
        vote: Vote,
    ) -> Result<(), VoteRefusal> {
        // A member requests a vote on a key again only after its earlier attempt has ended without
        // running.
        let same_runner = record.vote().is_some_and(|held| held.runner == vote.runner);
        if same_runner || !self.settings.safeguards.arbiter {
            return Ok(());
        }
        if record.fingerprint != fingerprint {
            return Err(VoteRefusal::Conflict);
        }
        Err(match &record.state {
            State::Active(_) => VoteRefusal::InProgress,
            State::Answered(answer) => VoteRefusal::Ran(Kept::Answer(answer.as_ref().clone())),
            State::NotKept => VoteRefusal::Ran(Kept::NotKept),
            State::Lost(_) | State::Prepared(_) => VoteRefusal::OutcomeUnknown,
        })
    }

    /// Withdraws the vote for an attempt that has ended without running.
    pub(super) fn on_release(&mut self, from: MemberId, key: IdempotencyKey, run: RunId) {
        let held = self.records.get(key).and_then(Record::vote);
        let runner = self.runner(key, from);
        if held.is_some_and(|held| held.run == run && Some(held.runner) == runner) {
            self.records.remove(key);
        }
    }

    /// Queries the outcome of the attempt that this node voted for.
    pub(super) fn query(&self, key: IdempotencyKey, vote: Vote, out: &mut Vec<Output>) {
        let placement = self.placement(key);
        let to = placement.and_then(|placement| match vote.runner {
            Runner::Home => Some(placement.home),
            Runner::Copy => placement.copy,
        });
        if let Some(to) = to {
            let run = vote.run;
            let msg = PeerMessage::Query { key, run };
            out.push(Output::Send { to, msg });
        }
    }

    /// Returns the role in which a member may run a key, or `None` if it is neither home nor copy.
    pub(super) fn runner(&self, key: IdempotencyKey, id: MemberId) -> Option<Runner> {
        let placement: Placement = self.placement(key)?;
        if self.is_same(placement.home, id) {
            return Some(Runner::Home);
        }
        let is_copy = placement.copy.is_some_and(|copy| self.is_same(copy, id));
        is_copy.then_some(Runner::Copy)
    }

    /// Refuses a vote request for an earlier incarnation of this node at once.
    pub(super) fn refuse_misdirected(
        &self,
        from: MemberId,
        msg: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        if let PeerMessage::Prepare { key, run, .. } = msg {
            refuse_vote(from, key, run, VoteRefusal::OtherEpoch, out);
        }
    }
}

fn refuse_vote(
    to: MemberId,
    key: IdempotencyKey,
    run: RunId,
    reason: VoteRefusal,
    out: &mut Vec<Output>,
) {
    let msg = PeerMessage::PrepareRefused { key, run, reason };
    out.push(Output::Send { to, msg });
}
