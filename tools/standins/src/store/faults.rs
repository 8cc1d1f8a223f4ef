//! Switches for faults and counts of calls.

use serde::{Deserialize, Serialize};

/// How calls fail during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// The connection is closed without an answer.
    #[default]
    Drop,
    /// The call is answered with status 503.
    Refuse,
    /// The call is not answered as long as the connection stands.
    Hang,
}

/// Faults in force. No faulty call but the lost answers is applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every call fails.
    pub outage: bool,
    /// How calls fail during an outage.
    pub outage_mode: OutageMode,
    /// Milliseconds by which each call is delayed before it is applied.
    pub delay_ms: u64,
    /// Number of coming writes that are not applied and whose connection is closed.
    pub lose_request_before_apply: u32,
    /// Number of coming writes that are applied and whose connection is closed unanswered.
    pub lose_answer_after_apply: u32,
    /// Whether a read is given the state before the newest.
    pub stale_reads: bool,
}

/// Counts of calls by kind, failed calls included. A waiting watch counts as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of a value.
    pub get: u64,
    /// Compare-and-swap writes.
    pub put: u64,
    /// Watches.
    pub watch: u64,
    /// Grants and renewals of leases.
    pub lease: u64,
    /// Listings.
    pub list: u64,
}

impl Calls {
    /// Calls of all kinds.
    pub fn total(&self) -> u64 {
        self.get + self.put + self.watch + self.lease + self.list
    }
}
