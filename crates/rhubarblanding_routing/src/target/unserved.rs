//! Share of its requests that the backend server of a target rejects or fails.
//!
//! A backend server that rejects or fails at once looks idle. Without this share it would be chosen
//! for that.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Divisor of the weight of one request: some tens of requests tell the share.
const DIVISOR: f64 = 16.0;
/// Time without requests in which the share halves, so that a target that is avoided is tried
/// again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Moving average over the requests that reached the backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unserved {
    share: f64,
    at: MonoTime,
}

impl Unserved {
    pub(super) fn new(now: MonoTime) -> Self {
        Self {
            share: 0.0,
            at: now,
        }
    }

    /// Records a request that was served or not.
    pub(super) fn record(&mut self, now: MonoTime, served: bool) {
        let share = self.share(now);
        let sample = if served { 0.0 } else { 1.0 };
        self.share = share + (sample - share) / DIVISOR;
        self.at = now;
    }

    /// Share of the requests that is not served, from 0 to 1.
    pub(super) fn share(&self, now: MonoTime) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.share * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
