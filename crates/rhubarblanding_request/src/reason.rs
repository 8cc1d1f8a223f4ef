//! Reasons for retries.

use strum::{Display, EnumCount, EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};

/// Reason for a retry.
///
/// The text form is the name of the counter.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumCount, EnumIter, EnumString, IntoStaticStr,
)]
pub enum RetryReason {
    /// The target refused the request without running it.
    #[strum(serialize = "retry.refused_not_run")]
    RefusedNotRun,
    /// No connection to the target could be opened.
    #[strum(serialize = "retry.connect_failed")]
    ConnectFailed,
    /// The connection broke while an idempotent request was running.
    #[strum(serialize = "retry.connection_lost")]
    ConnectionLost,
    /// A new attempt replaces one of an idempotent request whose connection went silent.
    #[strum(serialize = "retry.superseded")]
    Superseded,
    /// The target's node does not decide on the idempotency key; another node may.
    #[strum(serialize = "retry.home_moved")]
    HomeMoved,
    /// A backend server repeated one of its own downstream calls.
    #[strum(serialize = "retry.backend_repeat")]
    BackendRepeat,
}

impl RetryReason {
    /// Returns the name of the counter.
    pub fn counter(self) -> &'static str {
        self.into()
    }
}

/// Number of retries for each reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryCounts([u64; RetryReason::COUNT]);

impl RetryCounts {
    /// Counts one retry.
    pub fn add(&mut self, reason: RetryReason) {
        self.0[reason as usize] += 1;
    }

    /// Returns the number of retries for `reason`.
    pub fn get(&self, reason: RetryReason) -> u64 {
        self.0[reason as usize]
    }

    /// Returns the number of retries for all reasons.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// Iterates over all reasons with the number of retries for each.
    pub fn iter(&self) -> impl Iterator<Item = (RetryReason, u64)> + '_ {
        RetryReason::iter().map(|reason| (reason, self.get(reason)))
    }
}
