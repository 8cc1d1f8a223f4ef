//! Estimates of service times and of the time that requests hold a slot.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::KindId;

/// Time without samples after which an estimate is halved.
///
/// Without the decay, an estimate from a slow phase could permanently refuse the requests that
/// would correct it.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Inverse of the weight of a new sample.
const SAMPLE_DIVISOR: u64 = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Average {
    micros: u64,
    sampled_at: MonoTime,
}

impl Average {
    fn record(&mut self, now: MonoTime, sample: Duration) {
        let sample = sample.as_micros() as u64;
        self.micros = match self.micros {
            0 => sample,
            old => (old * (SAMPLE_DIVISOR - 1) + sample) / SAMPLE_DIVISOR,
        };
        self.sampled_at = now;
    }

    fn at(self, now: MonoTime) -> Duration {
        let idle = now.since(self.sampled_at).as_micros();
        let halvings = (idle / HALF_LIFE.as_micros()).min(63) as u32;
        Duration::from_micros(self.micros >> halvings)
    }
}

/// Average service time of each kind, and average time that a request of any kind holds a slot.
#[derive(Clone, Debug)]
pub(super) struct Estimates {
    slot: Average,
    kinds: [Average; KindId::MAX as usize + 1],
}

impl Estimates {
    pub(super) fn new() -> Self {
        Self {
            slot: Average::default(),
            kinds: [Average::default(); KindId::MAX as usize + 1],
        }
    }

    pub(super) fn record_slot(&mut self, now: MonoTime, held: Duration) {
        self.slot.record(now, held);
    }

    pub(super) fn record_service(&mut self, now: MonoTime, kind: KindId, latency: Duration) {
        self.kinds[kind.index()].record(now, latency);
    }

    /// Returns the estimated time from dispatch to the head of the answer.
    pub(super) fn service(&self, now: MonoTime, kind: KindId) -> Duration {
        self.kinds[kind.index()].at(now)
    }

    /// Returns the expected time until a slot is free for a request with `ahead` others before it.
    pub(super) fn wait(&self, now: MonoTime, ahead: usize, limit: u32) -> Duration {
        let turns = ahead as u32 + 1;
        self.slot.at(now) * turns / limit.max(1)
    }

    /// Returns the number of requests that get a slot within `time`.
    pub(super) fn served_within(&self, now: MonoTime, time: Duration, limit: u32) -> usize {
        let slot = self.slot.at(now).as_micros().max(1);
        (u128::from(limit) * time.as_micros() / slot) as usize
    }
}
