//! Importance of requests and the admission level derived from it.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::ids::RootId;

/// Importance of a request, set once at the root and inherited by the whole call chain.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Importance {
    /// Deferrable work, shed first.
    Background = 0,
    /// Ordinary work.
    #[default]
    Normal = 1,
    /// Work that takes precedence over ordinary work.
    High = 2,
    /// Work shed last.
    Critical = 3,
}

/// Idempotency of a request: running an idempotent one twice has the effect of running it once.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Idempotency {
    /// May run more than once.
    Idempotent,
    /// Must run at most once.
    NonIdempotent,
}

/// Importance combined with a hash of the root request: a chain is admitted or shed as a whole.
///
/// A higher value is admitted before a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Priority(u16);

impl Priority {
    /// Number of steps within one importance.
    pub const STEPS: u16 = 256;

    /// Returns the priority of a chain with the given importance and root.
    pub fn new(importance: Importance, root: RootId) -> Self {
        let step = (crate::collections::stable_hash(0, &root.0.to_le_bytes()) & 0xff) as u16;
        Self(importance as u16 * Self::STEPS + step)
    }

    /// Returns the importance from which this priority was made.
    pub fn importance(self) -> Importance {
        match self.0 / Self::STEPS {
            0 => Importance::Background,
            1 => Importance::Normal,
            2 => Importance::High,
            _ => Importance::Critical,
        }
    }

    /// Returns the position on the scale of [`AdmissionLevel`].
    pub fn value(self) -> u16 {
        self.0
    }
}

/// Lowest priority that is currently admitted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AdmissionLevel(pub u16);

impl AdmissionLevel {
    /// Level at which everything is admitted.
    pub const OPEN: Self = Self(0);
    /// Highest level: the top step of the highest importance is still admitted.
    pub const MAX: Self = Self(4 * Priority::STEPS - 1);

    /// Returns `true` if a request of `priority` is admitted at this level.
    pub fn admits(self, priority: Priority) -> bool {
        priority.0 >= self.0
    }
}
