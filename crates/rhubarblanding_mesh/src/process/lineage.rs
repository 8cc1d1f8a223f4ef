//! What the calls of running requests inherit from them.

use rhubarblanding_core::prelude::*;

/// What a call inherits from the request at whose run it is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lineage {
    /// Urgency of the first request of the chain.
    pub rank: u8,
    /// End of the time within which the answer to the first request is worth most.
    pub objective: MonoTime,
    /// Whether the first request was sent a second time, so that its calls are repeats.
    pub repeated: bool,
}

/// Requests that run at the local target, by their identifiers.
///
/// A request counts as a call only if the request that it names as its parent runs here at this
/// moment; whoever forges an identifier gains nothing by it.
#[derive(Clone, Debug, Default)]
pub struct Running {
    by_id: HashMap<Box<[u8]>, Run>,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    lineage: Lineage,
    call_failed: bool,
}

impl Running {
    /// Notes that a request runs.
    pub fn insert(&mut self, id: &[u8], lineage: Lineage) {
        let run = Run {
            lineage,
            call_failed: false,
        };
        self.by_id.insert(id.into(), run);
    }

    /// Notes that a request has ended.
    pub fn remove(&mut self, id: &[u8]) {
        self.by_id.remove(id);
    }

    /// Notes that a call of one of `parents` brought no success.
    pub fn note_call_failed(&mut self, parents: &[&[u8]]) {
        let parent = parents.iter().find(|id| self.by_id.contains_key(**id));
        if let Some(run) = parent.and_then(|id| self.by_id.get_mut(*id)) {
            run.call_failed = true;
        }
    }

    /// Whether a call of the request brought no success, so that its own failure says nothing of
    /// the target that ran it.
    pub fn has_failed_call(&self, id: &[u8]) -> bool {
        self.by_id.get(id).is_some_and(|run| run.call_failed)
    }

    /// What a call inherits, if one of `parents` runs.
    pub fn inherited(&self, parents: &[&[u8]]) -> Option<Lineage> {
        let run = parents.iter().find_map(|id| self.by_id.get(*id));
        run.map(|run| run.lineage)
    }
}
