//! Window of latency samples taken under one limit.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use crate::gate::KindId;

/// Measurements of one completed request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub(crate) kind: KindId,
    /// Latency without the time spent waiting for downstream calls.
    pub(crate) own: Duration,
    /// Requests at the backend server, this one included.
    pub(crate) in_flight: u32,
    /// `true` if other requests waited for its slot.
    pub(crate) waiting: bool,
}

/// Sums over a window.
#[derive(Clone, Copy, Debug)]
pub(super) struct Window {
    pub(super) started: MonoTime,
    count: u32,
    waiting: u32,
    in_flight: u64,
    latency: f64,
    own: Duration,
}

impl Window {
    pub(super) fn new(started: MonoTime) -> Self {
        Self {
            started,
            count: 0,
            waiting: 0,
            in_flight: 0,
            latency: 0.0,
            own: Duration::ZERO,
        }
    }

    pub(super) fn record(&mut self, sample: &Sample, latency: f64) {
        self.count += 1;
        self.waiting += u32::from(sample.waiting);
        self.in_flight += u64::from(sample.in_flight);
        self.latency += latency;
        self.own += sample.own;
    }

    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// Returns `true` if requests waited because of the limit for most of the window.
    pub(super) fn is_saturated(&self) -> bool {
        self.count > 0 && self.waiting * 5 >= self.count * 4
    }

    /// Returns the mean latency without downstream calls.
    pub(super) fn own(&self) -> Duration {
        self.own / self.count.max(1)
    }

    /// Returns the mean latency as a multiple of the baseline.
    pub(super) fn latency(&self) -> f64 {
        self.latency / f64::from(self.count.max(1))
    }

    /// Returns the throughput by Little's law, in requests per baseline latency.
    pub(super) fn throughput(&self) -> f64 {
        let in_flight = self.in_flight as f64 / f64::from(self.count.max(1));
        in_flight / self.latency().max(f64::MIN_POSITIVE)
    }
}
