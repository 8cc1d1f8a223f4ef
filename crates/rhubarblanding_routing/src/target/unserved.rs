//! Share of its requests that the backend server of a target rejects or fails.
//!
//! A backend server that rejects or fails requests at once appears idle. Without this share the
//! router would prefer it.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::HealthStatus;

/// Inverse weight of one request: the estimate of the share settles after some tens of requests.
const DIVISOR: f64 = 16.0;
/// Time without requests in which the share halves, so that an avoided target is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Share from which a target counts as unreliable. Two unserved requests in a row exceed it.
const UNRELIABLE_SHARE: f64 = 0.1;
/// Share below which an unreliable target counts as reliable again.
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

    /// Records a request and returns the new health status if it changed.
    pub(super) fn record(&mut self, now: MonoTime, served: bool) -> Option<HealthStatus> {
        let share = self.share(now);
        let sample = if served { 0.0 } else { 1.0 };
        self.share = share + (sample - share) / DIVISOR;
        self.at = now;
        let threshold = match self.is_unreliable {
            true => RELIABLE_SHARE,
            false => UNRELIABLE_SHARE,
        };
        let was_unreliable = std::mem::replace(&mut self.is_unreliable, self.share >= threshold);
        match (was_unreliable, self.is_unreliable) {
            (false, true) => Some(HealthStatus::Unreliable),
            (true, false) => Some(HealthStatus::Reliable),
            _ => None,
        }
    }

    pub(super) fn is_unreliable(&self) -> bool {
        self.is_unreliable
    }

    /// Returns the share of requests that are not served, from 0 to 1.
    pub(super) fn share(&self, now: MonoTime) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.share * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
