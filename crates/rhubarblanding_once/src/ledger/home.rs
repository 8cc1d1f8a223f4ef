//! Running a key as its home.

use rhubarblanding_core::error::ErrorKind;
use rhubarblanding_core::ids::IdempotencyKey;

use super::active::Stage;
use super::{AttemptRequest, Ledger, Output};
use crate::message::{PeerMessage, PrepareRefusal, RunId};
use crate::table::{MemberId, Placement};
use crate::time::Now;

impl Ledger {
    /// Asks the copy to record the key, or dispatches it if there is no copy.
    pub(super) fn start_as_home(
        &mut self,
        now: Now,
        req: AttemptRequest,
        placement: Placement,
        out: &mut Vec<Output>,
    ) {
        let (attempt, run) = self.open(now, req, placement, Stage::Preparing);
        if let Some(to) = placement.copy {
            let msg = PeerMessage::Prepare {
                epoch: placement.epoch,
                key: req.key,
                fingerprint: req.fingerprint,
                run,
            };
            out.push(Output::Send { to, msg });
        }
        if placement.copy.is_none() || !self.settings.safeguards.copy_ack {
            self.dispatch(attempt, out);
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
            self.active_run(key, Stage::Preparing, run)
        } else {
            self.active(key, Stage::Preparing)
        };
        let Some(attempt) = attempt else {
            return;
        };
        let copy = self
            .attempts
            .get(attempt)
            .and_then(|attempt| attempt.placement.copy);
        if copy.is_some_and(|copy| self.is_same(copy, from)) {
            self.dispatch(attempt, out);
        }
    }

    pub(super) fn on_prepare_refused(
        &mut self,
        key: IdempotencyKey,
        run: RunId,
        reason: PrepareRefusal,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.active_run(key, Stage::Preparing, run) else {
            return;
        };
        let kind = match reason {
            PrepareRefusal::OtherEpoch => ErrorKind::HomeUnavailable,
            PrepareRefusal::Full => ErrorKind::Overloaded,
            PrepareRefusal::Conflict => ErrorKind::KeyConflict,
            PrepareRefusal::InProgress => ErrorKind::KeyInProgress,
            PrepareRefusal::Evicted | PrepareRefusal::OutcomeUnknown => ErrorKind::OutcomeUnknown,
            PrepareRefusal::Ran(kept) => {
                self.finish(attempt, kept, out);
                return;
            }
        };
        self.give_up(attempt, kind, out);
    }
}
