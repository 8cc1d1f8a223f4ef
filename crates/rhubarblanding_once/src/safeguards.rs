//! Switches for the mechanisms that prevent a key from running twice.

/// Mechanisms that prevent a key from running twice.
///
/// Only tests disable one, to show that their oracle detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// The home dispatches only with a vote of copy or witness.
    pub copy_ack: bool,
    /// The copy dispatches only with a vote of home or witness.
    pub witness: bool,
    /// A member votes for one of home and copy.
    pub arbiter: bool,
    /// A node that adopted a proposed epoch takes no part in running its keys under an earlier one.
    pub adoption_gate: bool,
    /// A node that already took part in running a key of a proposed epoch does not adopt it.
    pub mint_check: bool,
    /// A manager activates an epoch only after enough members of the one before adopted it.
    pub adoption_acks: bool,
    /// Keys at or below the mint time of an evicted record are refused without a record.
    pub horizon: bool,
    /// Another incarnation on the same host is another member.
    pub incarnation_check: bool,
    /// An acknowledgement counts only for the attempt that it names.
    pub run_check: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            copy_ack: true,
            witness: true,
            arbiter: true,
            adoption_gate: true,
            mint_check: true,
            adoption_acks: true,
            horizon: true,
            incarnation_check: true,
            run_check: true,
        }
    }
}
