//! Settings of a ledger.

use std::time::Duration;

/// Limits and timeouts of a [`Ledger`](super::Ledger).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// How far a key's mint time may lie ahead of the node's wall clock.
    pub mint_skew: Duration,
    /// How far in the future a proposed epoch may begin for this node to adopt it.
    pub proposal_lead_max: Duration,
    /// How long a home waits for its copy, and a copy for a witness.
    pub prepare_timeout: Duration,
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
            recorded_retry: Duration::from_millis(500),
            recorded_sends: 4,
            retention: Duration::from_secs(3600),
            max_records: 200_000,
            max_answer_bytes: 16 * 1024,
            retry_after: Duration::from_millis(200),
            outcome_retry_after: Duration::from_secs(1),
            safeguards: Safeguards::default(),
        }
    }
}

/// Mechanisms that keep a key from running twice.
///
/// Only tests switch one off, to show that their oracle notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// The home dispatches only after the copy acknowledged the key.
    pub copy_ack: bool,
    /// The copy lets only the first of home and substitute run a key.
    pub copy_arbiter: bool,
    /// A copy that takes a key over needs a witness.
    pub witness: bool,
    /// An adopted epoch ends the earlier one for its keys, and adoption is refused too late.
    pub adoption_gate: bool,
    /// Keys at or below the mint time of an evicted record are refused without a record.
    pub horizon: bool,
    /// Another incarnation on the same host is another member.
    pub incarnation_check: bool,
    /// An acknowledgement counts only for the try that it names.
    pub run_check: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            copy_ack: true,
            copy_arbiter: true,
            witness: true,
            adoption_gate: true,
            horizon: true,
            incarnation_check: true,
            run_check: true,
        }
    }
}
