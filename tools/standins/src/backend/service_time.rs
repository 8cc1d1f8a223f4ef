//! Service times drawn from a seeded generator.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::settings::{BackendSettings, Distribution};

/// Greatest multiple of the mean that is drawn.
const MAX_MULTIPLE: f64 = 10.0;

/// Source of service times.
#[derive(Debug)]
pub struct ServiceTimes {
    rng: Mutex<SmallRng>,
    distribution: Distribution,
    started: Instant,
    cold_start: Duration,
    cold_factor: f64,
}

impl ServiceTimes {
    /// Source for a backend server that starts now.
    pub fn new(cfg: &BackendSettings) -> Self {
        Self {
            rng: Mutex::new(SmallRng::seed_from_u64(cfg.seed)),
            distribution: cfg.distribution,
            started: Instant::now(),
            cold_start: cfg.cold_start,
            cold_factor: cfg.cold_factor,
        }
    }

    /// Draws a service time around `mean`.
    pub fn draw(&self, mean: Duration) -> Duration {
        let multiple = match self.distribution {
            Distribution::Fixed => 1.0,
            Distribution::Uniform => 0.5 + self.unit(),
            Distribution::Exponential => (-(1.0 - self.unit()).ln()).min(MAX_MULTIPLE),
        };
        mean.mul_f64(multiple * self.cold_multiple())
    }

    /// Draws an index below `len`, which must not be zero.
    pub fn index(&self, len: usize) -> usize {
        ((self.unit() * len as f64) as usize).min(len - 1)
    }

    fn unit(&self) -> f64 {
        self.rng.lock().map(|mut rng| rng.random()).unwrap_or(0.5)
    }

    fn cold_multiple(&self) -> f64 {
        let age = self.started.elapsed();
        if age >= self.cold_start {
            return 1.0;
        }
        let left = 1.0 - age.as_secs_f64() / self.cold_start.as_secs_f64();
        1.0 + (self.cold_factor - 1.0) * left
    }
}
