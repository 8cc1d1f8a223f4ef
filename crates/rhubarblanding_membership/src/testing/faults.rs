//! Loss, duplication and delay of messages.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Faults injected into the delivery of messages.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Share of messages that are lost, 0 to 1.
    pub loss: f64,
    /// Share of messages that arrive twice, 0 to 1.
    pub duplication: f64,
    /// Shortest delay of a message.
    pub min_delay: Duration,
    /// Longest delay of a message.
    pub max_delay: Duration,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            min_delay: Duration::from_micros(500),
            max_delay: Duration::from_millis(2),
        }
    }
}

impl Faults {
    /// Returns the delay of each delivery of one message; none if it is lost.
    pub(super) fn deliveries(&self, rng: &mut SmallRng) -> Vec<Duration> {
        let mut delays = Vec::with_capacity(1);
        if !rng.random_bool(self.loss) {
            delays.push(self.delay(rng));
        }
        if rng.random_bool(self.duplication) {
            delays.push(self.delay(rng));
        }
        delays
    }

    fn delay(&self, rng: &mut SmallRng) -> Duration {
        rng.random_range(self.min_delay..=self.max_delay)
    }
}
