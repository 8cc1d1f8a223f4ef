//! Settings of the concurrency limit.

use std::time::Duration;

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Algorithm that adapts the limit to the measurements.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum LimitPolicy {
    /// Tries a lower or higher limit for one window and keeps it if the throughput justifies it.
    #[default]
    Trial,
    /// Adds one per window, and subtracts a tenth when the latency rises.
    AdditiveIncrease,
    /// Divides the limit by the relative increase of the latency.
    Gradient,
    /// Always uses the announced slots.
    Fixed,
}

/// Settings of the concurrency limit.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Algorithm that adapts the limit to the measurements.
    pub policy: LimitPolicy,
    /// Limit for a backend server that announces no slots.
    pub initial: u32,
    /// Lowest limit.
    pub min: u32,
    /// Highest limit.
    pub max: u32,
    /// Shortest window.
    pub window: Duration,
    /// Longest window; with too few samples by then, it has no effect on the limit.
    pub window_max: Duration,
    /// Number of samples that a window needs.
    pub samples: u32,
    /// Latency, in percent of the baseline, from which a lower limit is tried.
    pub tolerance_percent: u32,
    /// Limit during a trial of a lower limit, in percent of the limit before.
    pub lower_percent: u32,
    /// Largest step of a trial of a higher limit, in percent of the limit.
    pub higher_percent: u32,
    /// Shortest time between trials of a lower limit, which cost goodput.
    pub lower_pause: Duration,
    /// Shortest time between trials of a higher limit.
    pub higher_pause: Duration,
    /// Upper bound of the pause between trials, which grows with failed trials.
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
