//! Settings of a ledger.

use std::time::Duration;

use crate::safeguards::Safeguards;

/// Limits and timeouts of a [`Ledger`](super::Ledger).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// How far a key's mint time may lie ahead of the node's wall clock.
    pub mint_skew: Duration,
    /// How far in the future a proposed epoch may begin for this node to adopt it.
    pub proposal_lead_max: Duration,
    /// How long home or copy waits for a vote.
    pub prepare_timeout: Duration,
    /// How long a home waits for its copy before it asks the witness too.
    pub fallback_after: Duration,
    /// How long a recorded answer waits for its acknowledgement before it is sent again.
    pub recorded_retry: Duration,
    /// How often a recorded answer is sent.
    pub recorded_sends: u8,
    /// How long after its mint time a record is kept.
    pub retention: Duration,
    /// Greatest number of records.
    pub max_records: usize,
    /// Greatest size in bytes of head and body of an answer that is kept.
    pub max_answer_bytes: usize,
    /// Greatest size in bytes of all answers that are kept. The oldest are given up first; their
    /// keys are still known to have run.
    pub max_kept_bytes: usize,
    /// When a caller should repeat a request that was not run.
    pub retry_after: Duration,
    /// When a caller should ask again for an outcome that is not known.
    pub outcome_retry_after: Duration,
    /// Mechanisms that can be switched off to show that a test would notice.
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
