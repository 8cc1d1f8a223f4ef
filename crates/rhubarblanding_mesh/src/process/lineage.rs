//! Attributes that calls inherit from the running requests that make them.

use rhubarblanding_admission::slots::KindKey;
use rhubarblanding_core::prelude::*;

/// Maximum number of request kinds whose average number of calls is stored.
const KINDS_MAX: usize = 1_024;
/// Weight of the latest request in the average number of calls of its kind.
const CALLS_WEIGHT: f64 = 0.125;

/// Attributes that a call inherits from the request that makes it, and so from the first request
/// of a chain of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lineage {
    /// Urgency of the first request of the chain.
    pub rank: u8,
    /// Client account of the first request of the chain.
    pub account: AccountKey,
    /// End of the period in which the answer to the first request has its full value.
    pub objective: MonoTime,
    /// `true` if a request of the chain is a retry; the calls that it causes count as retries too.
    pub repeated: bool,
    /// Number of calls that the earlier requests of the chain are expected to make after this one;
    /// all those calls must succeed.
    pub calls_left: u32,
}

/// Requests that run at the local target, by their identifiers.
///
/// A request counts as a call only if the request that it names as its parent currently runs here,
/// so that a forged identifier has no effect.
#[derive(Clone, Debug, Default)]
pub struct RunningRequests {
    by_id: HashMap<Box<[u8]>, Run>,
    /// Average number of calls per request, by kind.
    usual_calls: HashMap<KindKey, f64>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    lineage: Lineage,
    kind: KindKey,
    calls: u32,
    call_failed: bool,
}

impl RunningRequests {
    /// Adds a running request.
    pub fn insert(&mut self, id: &[u8], kind: KindKey, lineage: Lineage) {
        let run = Run {
            lineage,
            kind,
            calls: 0,
            call_failed: false,
        };
        self.by_id.insert(id.into(), run);
    }

    /// Removes a request that has ended; `succeeded` is its result.
    pub fn remove(&mut self, id: &[u8], succeeded: bool) {
        if let Some(run) = self.by_id.remove(id) {
            self.record_calls(run.kind, f64::from(run.calls), succeeded);
        }
    }

    /// Returns the number of running requests.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns `true` if no request runs.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns `true` if requests of the kind are known to make calls.
    pub fn makes_calls(&self, kind: KindKey) -> bool {
        self.usual_calls
            .get(&kind)
            .is_some_and(|calls| *calls > 0.0)
    }

    /// Updates the average number of calls of a kind. A failed request would have made at least as
    /// many calls if it had succeeded, so it can only raise the average.
    fn record_calls(&mut self, kind: KindKey, calls: f64, succeeded: bool) {
        let has_room = self.usual_calls.len() < KINDS_MAX;
        match self.usual_calls.get_mut(&kind) {
            Some(usual) if !succeeded => *usual = usual.max(calls),
            Some(usual) => *usual += CALLS_WEIGHT * (calls - *usual),
            None if has_room => {
                self.usual_calls.insert(kind, calls);
            }
            None => {}
        }
    }

    /// Records that a call of one of `parents` failed.
    pub fn record_failed_call(&mut self, parents: &[&[u8]]) {
        let parent = parents.iter().find(|id| self.by_id.contains_key(**id));
        if let Some(run) = parent.and_then(|id| self.by_id.get_mut(*id)) {
            run.call_failed = true;
        }
    }

    /// Returns `true` if a call of the request failed, so that its own failure does not indicate a
    /// fault of the target that ran it.
    pub fn has_failed_call(&self, id: &[u8]) -> bool {
        self.by_id.get(id).is_some_and(|run| run.call_failed)
    }

    /// Counts a call of one of `parents` if that request runs here; returns the call's lineage.
    pub fn begin_call(&mut self, parents: &[&[u8]]) -> Option<Lineage> {
        let parent = parents.iter().find(|id| self.by_id.contains_key(**id))?;
        let run = self.by_id.get_mut(*parent)?;
        run.calls += 1;
        let usual = self.usual_calls.get(&run.kind).copied().unwrap_or_default();
        let own_left = (usual.round() as u32).saturating_sub(run.calls);
        Some(Lineage {
            calls_left: run.lineage.calls_left.saturating_add(own_left),
            ..run.lineage
        })
    }
}
