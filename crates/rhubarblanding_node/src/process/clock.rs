//! The clocks of a process, the only place where time is read.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use rhubarblanding_core::prelude::*;

/// Monotonic and wall clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the monotonic clock.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Present time on the monotonic clock.
    pub fn now(&self) -> MonoTime {
        MonoTime::from_micros(self.start.elapsed().as_micros() as u64)
    }

    /// Present wall clock time.
    pub fn wall(&self) -> UnixMillis {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixMillis(elapsed.map_or(0, |d| d.as_millis() as u64))
    }

    /// The runtime's point in time that belongs to `at`.
    pub fn instant(&self, at: MonoTime) -> tokio::time::Instant {
        let offset = std::time::Duration::from_micros(at.as_micros());
        tokio::time::Instant::from_std(self.start + offset)
    }
}
