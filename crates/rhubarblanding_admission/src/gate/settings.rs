//! Settings of an admission gate.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::limit::LimitSettings;
use crate::retry_after::BackoffSettings;

/// Order in which queued requests of one importance are admitted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum AgePolicy {
    /// Oldest first.
    #[default]
    Fifo,
    /// Oldest first, but newest first while the oldest has waited for longer than
    /// [`GateSettings::lifo_after`].
    AdaptiveLifo,
}

/// Settings of a [`Gate`](super::Gate).
#[derive(Clone, Debug)]
pub struct GateSettings {
    /// Settings of the concurrency limit.
    pub limit: LimitSettings,
    /// Settings of the retry delay sent to refused callers.
    pub backoff: BackoffSettings,
    /// Target wait from which the queue's maximum length is computed.
    pub queue_wait_target: Duration,
    /// Wait after which a queued request is refused.
    pub queue_wait_max: Duration,
    /// Lower bound of the queue's maximum length.
    pub queue_len_min: usize,
    /// Upper bound of the queue's maximum length.
    pub queue_len_max: usize,
    /// Order within one importance.
    pub age_policy: AgePolicy,
    /// Wait of the oldest request above which [`AgePolicy::AdaptiveLifo`] admits newest first.
    pub lifo_after: Duration,
    /// Interval at which the admission level is recomputed.
    pub window: Duration,
    /// Mean queue wait in a window from which the backend server counts as overloaded.
    pub overload_wait: Duration,
    /// `true` if a request evicts one of lower priority from a full queue. `false` only in tests of
    /// the test oracle.
    pub evict: bool,
    /// `true` if requests are admitted by importance. `false` only in tests of the test oracle.
    pub order_by_importance: bool,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            limit: LimitSettings::default(),
            backoff: BackoffSettings::default(),
            queue_wait_target: Duration::from_millis(100),
            queue_wait_max: Duration::from_millis(500),
            queue_len_min: 8,
            queue_len_max: 512,
            age_policy: AgePolicy::default(),
            lifo_after: Duration::from_millis(50),
            window: Duration::from_millis(100),
            overload_wait: Duration::from_millis(20),
            evict: true,
            order_by_importance: true,
        }
    }
}
