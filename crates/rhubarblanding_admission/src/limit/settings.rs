//! Settings of the concurrency limit.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// How the limit follows what is measured.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum LimitPolicy {
    /// Tries a lower or higher limit for one window and keeps it if the throughput says so.
    #[default]
    Trial,
    /// Adds one per window and takes a tenth off when the latency rises.
    AdditiveIncrease,
    /// Divides the limit by the rise of the latency.
    Gradient,
    /// Keeps the announced slots.
    Fixed,
}

/// Settings of the concurrency limit.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// How the limit follows what is measured.
    pub policy: LimitPolicy,
    /// Limit for a backend server that announces no slots.
    pub initial: u32,
    /// Lowest limit.
    pub min: u32,
    /// Highest limit.
    pub max: u32,
    /// Shortest window.
    pub window: Duration,
    /// Longest window; with too few samples by then, it changes nothing.
    pub window_max: Duration,
    /// Samples that a window needs.
    pub samples: u32,
    /// Latency in percent of the baseline from which a lower limit is tried.
    pub tolerance_percent: u32,
    /// Limit in percent that a trial of a lower limit takes.
    pub lower_percent: u32,
    /// Widest step of a trial of a higher limit, in percent of the limit.
    pub higher_percent: u32,
    /// Shortest time between trials of a lower limit, which cost goodput.
    pub lower_pause: Duration,
    /// Shortest time between trials of a higher limit.
    pub higher_pause: Duration,
    /// Longest time between trials that were not kept.
    pub trial_pause_max: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            policy: LimitPolicy::default(),
            initial: 16,
            min: 1,
            max: 4_096,
            window: Duration::from_millis(100),
            window_max: Duration::from_secs(2),
            samples: 400,
            tolerance_percent: 175,
            lower_percent: 70,
            higher_percent: 50,
            lower_pause: Duration::from_secs(2),
            higher_pause: Duration::from_millis(250),
            trial_pause_max: Duration::from_secs(30),
        }
    }
}
