//! Settings of a ledger.

use std::time::Duration;

use crate::safeguards::Safeguards;

/// Limits and timeouts of a [`Ledger`](super::Ledger).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Maximum time by which a key's mint time may lie ahead of the node's wall clock.
    pub mint_skew: Duration,
    /// Maximum time in the future at which a proposed epoch may begin for this node to adopt it.
    pub proposal_lead_max: Duration,
    /// Maximum time that home or copy waits for a vote.
    pub prepare_timeout: Duration,
    /// Time that a home waits for its copy before it requests the vote of the witness too.
    pub fallback_after: Duration,
    /// Time that a recorded answer waits for its acknowledgement before it is resent.
    pub recorded_retry: Duration,
    /// Maximum number of times that a recorded answer is sent.
    pub recorded_sends: u8,
    /// Retention time of a record after its mint time.
    pub retention: Duration,
    /// Maximum number of records.
    pub max_records: usize,
    /// Maximum size in bytes of head and body of an answer that is kept.
    pub max_answer_bytes: usize,
    /// Maximum size in bytes of all answers that are kept. The oldest are discarded first; their
    /// keys remain recorded as run.
    pub max_kept_bytes: usize,
    /// Time after which a caller should retry a request that was not run.
    pub retry_after: Duration,
    /// Time after which a caller should query an unknown outcome again.
    pub outcome_retry_after: Duration,
    /// Mechanisms that tests disable to show that the fault is detected.
    pub safeguards: Safeguards,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            mint_skew: Duration::from_secs(2),
            proposal_lead_max: Duration::from_secs(60),
            prepare_timeout: Duration::from_millis(250),
            fallback_after: Duration::from_millis(50),
            recorded_retry: Duration::from_millis(500),
            recorded_sends: 4,
            retention: Duration::from_secs(3600),
            max_records: 100_000,
            max_answer_bytes: 16 * 1024,
            max_kept_bytes: 32 * 1024 * 1024,
            retry_after: Duration::from_millis(200),
            outcome_retry_after: Duration::from_secs(1),
            safeguards: Safeguards::default(),
        }
    }
}
