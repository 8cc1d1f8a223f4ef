//! Share of its requests that the backend server of a target rejects or fails.
//!
//! A backend server that rejects or fails at once looks idle. Without this share it would be chosen
//! for that.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::HealthStatus;

/// Divisor of the weight of one request: some tens of requests tell the share.
const DIVISOR: f64 = 16.0;
/// Time without requests in which the share halves, so that a target that is avoided is tried
/// again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Share from which a target counts as unreliable. Two requests in a row that are not served exceed
/// it.
const UNRELIABLE_SHARE: f64 = 0.1;
/// Share from which on an unreliable target counts as reliable again.
const RELIABLE_SHARE: f64 = 0.05;

/// Moving average over the requests that reached the backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unserved {
    share: f64,
    at: MonoTime,
    is_unreliable: bool,
}

impl Unserved {
    pub(super) fn new(now: MonoTime) -> Self {
        Self {
            share: 0.0,
            at: now,
            is_unreliable: false,
        }
    }

    /// Records a request that was served or not, and returns what that changes.
    pub(super) fn record(&mut self, now: MonoTime, served: bool) -> Option<HealthStatus> {
        let share = self.share(now);
        let sample = if served { 0.0 } else { 1.0 };
        self.share = share + (sample - share) / DIVISOR;
        self.at = now;
        let limit = match self.is_unreliable {
            true => RELIABLE_SHARE,
            false => UNRELIABLE_SHARE,
        };
        let was = std::mem::replace(&mut self.is_unreliable, self.share >= limit);
        match (was, self.is_unreliable) {
            (false, true) => Some(HealthStatus::Unreliable),
            (true, false) => Some(HealthStatus::Reliable),
            _ => None,
        }
    }

    pub(super) fn is_unreliable(&self) -> bool {
        self.is_unreliable
    }

    /// Share of the requests that is not served, from 0 to 1.
    pub(super) fn share(&self, now: MonoTime) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.share * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
