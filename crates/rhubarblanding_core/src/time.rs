//! Points in time, which decision code gets as arguments instead of reading a clock.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Point on one process's monotonic clock, in microseconds since an arbitrary start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonoTime(u64);

impl MonoTime {
    /// Start of the clock.
    pub const ZERO: Self = Self(0);

    /// Returns the point `micros` microseconds after the start.
    pub fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the point `millis` milliseconds after the start.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the start.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to this point, or zero if `earlier` is not earlier.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time from this point to `later`, or zero if `later` has passed.
    pub fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs.as_micros() as u64))
    }
}

impl Sub<Duration> for MonoTime {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs.as_micros() as u64))
    }
}

/// Wall clock time in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl Add<Duration> for UnixMillis {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs.as_millis() as u64))
    }
}
