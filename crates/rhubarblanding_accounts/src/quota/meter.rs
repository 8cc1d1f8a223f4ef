//! Recent rate of an event, in constant memory.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Time over which events are counted. Shorter ones would mistake chance for demand.
const PERIOD: Duration = Duration::from_secs(1);

/// Sliding count of events over [`PERIOD`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Meter {
    began: MonoTime,
    current: f64,
    previous: f64,
}

impl Meter {
    pub(super) fn add(&mut self, now: MonoTime, count: f64) {
        self.advance(now);
        self.current += count;
    }

    /// Returns the events per second.
    pub(super) fn per_second(&mut self, now: MonoTime) -> f64 {
        self.advance(now);
        let passed = now.since(self.began).as_secs_f64() / PERIOD.as_secs_f64();
        (self.previous * (1.0 - passed) + self.current) / PERIOD.as_secs_f64()
    }

    fn advance(&mut self, now: MonoTime) {
        let passed = now.since(self.began);
        if passed < PERIOD {
            return;
        }
        self.previous = if passed < 2 * PERIOD {
            self.current
        } else {
            0.0
        };
        self.current = 0.0;
        self.began = if passed < 2 * PERIOD {
            self.began + PERIOD
        } else {
            now
        };
    }
}
