//! Deciding on a key as its copy.
//!
//! The copy is the arbiter of each key: the first of the home's [`PeerMessage::Prepare`] and a
//! request to run the key as substitute wins.

use rhubarblanding_core::error::ErrorKind;
use rhubarblanding_core::ids::{IdempotencyKey, TableVersion};

use super::active::Stage;
use super::record::{Record, State};
use super::{AttemptRequest, Ledger, Output};
use crate::answer::Fingerprint;
use crate::message::{Kept, PeerMessage, PrepareRefusal, RunId};
use crate::table::{MemberId, Placement};
use crate::time::Now;

/// Greatest number of members that are asked to witness one key.
const WITNESSES_MAX: usize = 3;

impl Ledger {
    /// Records the key for the home, or says why the home must not dispatch it.
    pub(super) fn on_prepare(&mut self, from: MemberId, msg: PeerMessage, out: &mut Vec<Output>) {
        let PeerMessage::Prepare {
            epoch,
            key,
            fingerprint,
            run,
        } = msg
        else {
            return;
        };
        if self.is_outdated(key, run) {
            return;
        }
        let verdict = self.check_prepare(from, epoch, key, fingerprint);
        let msg = match verdict {
            Ok(()) => {
                self.note_mint(key);
                let state = State::Prepared(run);
                self.records.insert(key, Record { fingerprint, state });
                PeerMessage::PrepareAck { key, run }
            }
            Err(reason) => PeerMessage::PrepareRefused { key, run, reason },
        };
        out.push(Output::Send { to: from, msg });
    }

    /// Whether the home has already begun a later try than the one a delayed message names.
    fn is_outdated(&self, key: IdempotencyKey, run: RunId) -> bool {
        let state = self.records.get(key).map(|record| &record.state);
        matches!(state, Some(State::Prepared(latest)) if run < *latest)
    }

    fn check_prepare(
        &mut self,
        from: MemberId,
        epoch: TableVersion,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
    ) -> Result<(), PrepareRefusal> {
        let placement = self.locate(key).map_err(|_| PrepareRefusal::OtherEpoch)?;
        let is_copy = placement.copy.is_some_and(|copy| self.is_me(copy));
        if placement.epoch != epoch || !is_copy || !self.is_same(placement.home, from) {
            return Err(PrepareRefusal::OtherEpoch);
        }
        if let Some(record) = self.records.get(key) {
            return self.check_record(record, fingerprint);
        }
        if self.is_evicted(key.minted_at()) {
            return Err(PrepareRefusal::Evicted);
        }
        if !self
            .records
            .make_room(self.settings.max_records, key.minted_at())
        {
            return Err(PrepareRefusal::Full);
        }
        Ok(())
    }

    fn check_record(
        &self,
        record: &Record,
        fingerprint: Fingerprint,
    ) -> Result<(), PrepareRefusal> {
        // Only the home can have caused `Prepared`, and it has no other try in progress.
        if record.is_prepared() || !self.settings.safeguards.copy_arbiter {
            return Ok(());
        }
        if record.fingerprint != fingerprint {
            return Err(PrepareRefusal::Conflict);
        }
        Err(match &record.state {
            State::Active(_) => PrepareRefusal::InProgress,
            State::Answered(answer) => PrepareRefusal::Ran(Kept::Answer(answer.as_ref().clone())),
            State::NotKept => PrepareRefusal::Ran(Kept::NotKept),
            State::Lost(_) | State::Prepared(_) => PrepareRefusal::OutcomeUnknown,
        })
    }

    /// Frees a key whose try at the home has ended without running.
    pub(super) fn on_release(&mut self, key: IdempotencyKey, run: RunId) {
        let state = self.records.get(key).map(|record| &record.state);
        if matches!(state, Some(State::Prepared(latest)) if *latest == run) {
            self.records.remove(key);
        }
    }

    /// Takes a key over from a home that cannot be reached.
    ///
    /// A witness has to confirm that the epoch still decides on the key, so that no member can run
    /// a key alone while the others move on to another epoch.
    pub(super) fn start_as_substitute(
        &mut self,
        now: Now,
        req: AttemptRequest,
        placement: Placement,
        out: &mut Vec<Output>,
    ) -> Result<(), ErrorKind> {
        let witnesses = self.witnesses(req.key);
        if witnesses.is_empty() && self.settings.safeguards.witness {
            return Err(ErrorKind::HomeUnavailable);
        }
        let (attempt, run) = self.open(now, req, placement, Stage::AwaitingWitness);
        if !self.settings.safeguards.witness {
            self.dispatch(attempt, out);
            return Ok(());
        }
        let (epoch, key) = (placement.epoch, req.key);
        out.extend(witnesses.into_iter().map(|to| Output::Send {
            to,
            msg: PeerMessage::Witness { epoch, key, run },
        }));
        Ok(())
    }

    /// Members that may confirm a key which this node takes over.
    fn witnesses(&self, key: IdempotencyKey) -> Vec<MemberId> {
        let Some(epoch) = self.epoch_of(key) else {
            return Vec::new();
        };
        let ranked = epoch.ranked(key).into_iter().map(|member| member.id);
        ranked
            .filter(|id| self.pairs_with(key, *id))
            .take(WITNESSES_MAX)
            .collect()
    }

    /// Confirms that an epoch still decides on a key that its copy takes over.
    pub(super) fn on_witness(
        &mut self,
        from: MemberId,
        epoch: TableVersion,
        key: IdempotencyKey,
        run: RunId,
        out: &mut Vec<Output>,
    ) {
        let Ok(placement) = self.locate(key) else {
            return;
        };
        let from_copy = placement.copy.is_some_and(|copy| self.is_same(copy, from));
        if placement.epoch != epoch || !from_copy || !self.pairs_with(key, from) {
            return;
        }
        self.note_mint(key);
        let msg = PeerMessage::WitnessAck { key, run };
        out.push(Output::Send { to: from, msg });
    }

    pub(super) fn on_witness_ack(
        &mut self,
        from: MemberId,
        key: IdempotencyKey,
        run: RunId,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.active_run(key, Stage::AwaitingWitness, run) else {
            return;
        };
        if self.pairs_with(key, from) {
            self.dispatch(attempt, out);
        }
    }

    /// Tells a home at once that its copy has been replaced.
    pub(super) fn refuse_misdirected(
        &self,
        from: MemberId,
        msg: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        if let PeerMessage::Prepare { key, run, .. } = msg {
            let reason = PrepareRefusal::OtherEpoch;
            let msg = PeerMessage::PrepareRefused { key, run, reason };
            out.push(Output::Send { to: from, msg });
        }
    }
}
