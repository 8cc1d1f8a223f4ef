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
    by_id: HashMap<Box<[u8]>, Lineage>,
}

impl Running {
    /// Notes that a request runs.
    pub fn insert(&mut self, id: &[u8], lineage: Lineage) {
        self.by_id.insert(id.into(), lineage);
    }

    /// Notes that a request has ended.
    pub fn remove(&mut self, id: &[u8]) {
        self.by_id.remove(id);
    }

    /// What a call inherits, if one of `parents` runs.
    pub fn inherited(&self, parents: &[&[u8]]) -> Option<Lineage> {
        parents.iter().find_map(|id| self.by_id.get(*id)).copied()
    }
}
