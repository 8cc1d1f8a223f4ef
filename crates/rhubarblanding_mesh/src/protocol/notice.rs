//! Notices that a target gives of itself in the headers of its answers.

use rhubarblanding_admission::slots::RequestRate;

/// Rate limit in the headers of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateNotice {
    /// The answer names no limit.
    #[default]
    None,
    /// Requests that the target takes from all nodes together.
    Limit(RequestRate),
    /// The header has a value that is not a rate.
    Invalid,
}

/// Notices in the headers of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// Rate limit.
    pub rate: RateNotice,
    /// `true` if the target is about to stop and takes no new requests.
    pub leaving: bool,
}
