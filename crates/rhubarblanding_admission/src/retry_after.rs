//! How long a refused caller is asked to stay away.

use std::time::Duration;

use rand::Rng;

/// Settings of the time that a refused caller is asked to wait.
#[derive(Clone, Debug)]
pub struct BackoffSettings {
    /// Time asked for at the lowest pressure.
    pub base: Duration,
    /// Time that is never exceeded before jitter.
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
    /// Greatest number of doublings.
    const STEPS_MAX: u32 = 16;

    /// Time after `steps` doublings, spread by half in both directions.
    ///
    /// The jitter keeps callers that were refused together from coming back together.
    pub fn draw(&self, rng: &mut impl Rng, steps: u32) -> Duration {
        let doublings = steps.min(Self::STEPS_MAX);
        let mean = self.base.saturating_mul(1 << doublings).min(self.max);
        mean.mul_f64(rng.random_range(0.5..1.5))
    }
}
