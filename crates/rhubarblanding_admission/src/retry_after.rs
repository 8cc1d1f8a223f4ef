//! Retry delay sent to refused callers.

use std::time::Duration;

use rand::Rng;

/// Settings of the retry delay sent to refused callers.
#[derive(Clone, Debug)]
pub struct BackoffSettings {
    /// Mean delay at the lowest overload pressure.
    pub base: Duration,
    /// Upper bound of the mean delay, before jitter.
    pub max: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(200),
            max: Duration::from_secs(10),
        }
    }
}

impl BackoffSettings {
    /// Maximum number of doublings.
    const DOUBLINGS_MAX: u32 = 16;

    /// Returns the delay after `steps` doublings, with a jitter of ±50 %.
    ///
    /// The jitter keeps callers that were refused together from retrying together.
    pub fn draw(&self, rng: &mut impl Rng, steps: u32) -> Duration {
        let doublings = steps.min(Self::DOUBLINGS_MAX);
        let mean = self.base.saturating_mul(1 << doublings).min(self.max);
        mean.mul_f64(rng.random_range(0.5..1.5))
    }
}
