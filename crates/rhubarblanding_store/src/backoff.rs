//! Jittered exponential back-off.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Bounds of a [`Backoff`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Maximum of the first delay.
    pub first: Duration,
    /// Maximum of every delay.
    pub max: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(50),
            max: Duration::from_secs(2),
        }
    }
}

/// Delays between attempts: each ceiling is twice the previous one, up to a maximum, and each
/// delay is drawn uniformly between half its ceiling and its ceiling.
#[derive(Clone, Debug)]
pub struct Backoff {
    settings: BackoffSettings,
    ceiling: Duration,
}

impl Backoff {
    /// Creates a back-off that starts with the first delay.
    pub fn new(settings: BackoffSettings) -> Self {
        Self {
            settings,
            ceiling: settings.first,
        }
    }

    /// Returns the delay before the next attempt.
    pub fn next_delay(&mut self, rng: &mut SmallRng) -> Duration {
        let ceiling = self.ceiling;
        self.ceiling = (ceiling * 2).min(self.settings.max);
        ceiling.mul_f64(rng.random_range(0.5..=1.0))
    }

    /// Restarts with the first delay, after an attempt succeeded.
    pub fn reset(&mut self) {
        self.ceiling = self.settings.first;
    }
}
