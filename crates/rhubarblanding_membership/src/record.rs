//! Records of targets and the order in which they supersede each other.

use rhubarblanding_core::prelude::{HostId, Incarnation, TargetInfo, TargetState};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

/// Result of failure detection for a target.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// Announced by its own node.
    Alive,
    /// Did not answer probes.
    Suspect,
    /// Did not refute the suspicion in time.
    Down,
}

/// Order of the records of one host: a greater stamp supersedes a smaller one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp {
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Number of the announcement in the incarnation, or [`Stamp::LAST_REVISION`] after its end.
    pub revision: u32,
    /// Result of failure detection for that announcement.
    pub verdict: Verdict,
}

impl Stamp {
    /// Revision of the record that ends an incarnation.
    pub const LAST_REVISION: u32 = u32::MAX;
}

/// State of one target, as spread between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Announced state.
    pub info: TargetInfo,
    /// Number of the announcement, raised by the target's node only.
    pub revision: u32,
    /// Result of failure detection.
    pub verdict: Verdict,
}

impl Record {
    /// Creates the record of an announcement.
    pub fn alive(info: TargetInfo, revision: u32) -> Self {
        Self {
            info,
            revision,
            verdict: Verdict::Alive,
        }
    }

    /// Returns the same announcement with another verdict.
    pub fn with_verdict(&self, verdict: Verdict) -> Self {
        Self {
            verdict,
            ..self.clone()
        }
    }

    /// Returns the host of the target.
    pub fn host(&self) -> HostId {
        self.info.host
    }

    /// Returns `true` if the record ends its incarnation.
    pub fn is_final(&self) -> bool {
        self.verdict == Verdict::Down || self.info.state == TargetState::Stopped
    }

    /// Returns `true` if the target is suspect, down or stopped.
    pub fn is_suspect_or_final(&self) -> bool {
        self.verdict != Verdict::Alive || self.is_final()
    }

    /// Returns the position in the order of the host's records.
    pub fn stamp(&self) -> Stamp {
        let (revision, verdict) = match self.is_final() {
            true => (Stamp::LAST_REVISION, Verdict::Down),
            false => (self.revision, self.verdict),
        };
        Stamp {
            incarnation: self.info.incarnation,
            revision,
            verdict,
        }
    }
}
