//! Load that a node reports about its backend server in each answer.

use serde::{Deserialize, Serialize};

use crate::importance::AdmissionLevel;

/// Load and state of one target, reported by its node in each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running at the backend server.
    pub in_flight: u32,
    /// Requests waiting in the node's queue.
    pub queued: u32,
    /// Current concurrency limit.
    pub limit: u32,
    /// Lowest priority that the node admits.
    pub level: AdmissionLevel,
    /// `true` if the target is draining and takes no new requests.
    pub draining: bool,
    /// Mean time for which requests of the answered request's kind held a slot of the target in the
    /// last seconds, in microseconds; 0 if it is not known.
    pub hold_us: u32,
}
