//! The clocks of a process, the only place where time is read.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rhubarblanding_core::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic and wall clock of one process.
///
/// The monotonic clock also counts the time for which the host was suspended, so that deadlines and
/// leases run out meanwhile. The runtime's timers do not count it and fire late.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts the monotonic clock.
    pub fn start() -> Self {
        Self {
            start: time_since_boot(),
        }
    }

    /// Present time on the monotonic clock.
    pub fn now(&self) -> MonoTime {
        let elapsed = time_since_boot().saturating_sub(self.start);
        MonoTime::from_micros(elapsed.as_micros() as u64)
    }

    /// Present wall clock time.
    pub fn wall(&self) -> UnixMillis {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixMillis(elapsed.map_or(0, |d| d.as_millis() as u64))
    }

    /// The runtime's point in time that belongs to `at`, if the host is not suspended before it.
    pub fn instant(&self, at: MonoTime) -> tokio::time::Instant {
        tokio::time::Instant::now() + self.now().until(at)
    }
}

fn time_since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    // The time since boot is never negative.
    Duration::try_from(now).unwrap_or_default()
}
