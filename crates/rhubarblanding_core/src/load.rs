//! Load that a node reports about its backend server on each answer.

use serde::{Deserialize, Serialize};

use crate::importance::AdmissionLevel;

/// State of one target as its own node sees it, carried back on each answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running at the backend server.
    pub in_flight: u32,
    /// Requests waiting in the node's queue.
    pub queued: u32,
    /// Concurrency limit in force.
    pub limit: u32,
    /// Lowest priority that the node admits.
    pub level: AdmissionLevel,
    /// Whether the target is leaving and takes no new work.
    pub draining: bool,
}
