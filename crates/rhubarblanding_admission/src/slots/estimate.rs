//! Time that requests of one kind hold a slot.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Kind of request, numbered by the owner of the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KindKey(pub u64);

/// Weight of the newest sample in an average: an average follows a change within some twenty
/// samples and is not moved much by one.
const NEWEST_WEIGHT: f64 = 0.1;
/// Estimate before the first sample, small enough to admit and large enough to queue briefly.
const INITIAL: Duration = Duration::from_millis(20);

/// Averages of the time that requests hold a slot.
#[derive(Clone, Debug, Default)]
pub(super) struct HoldTimes {
    by_kind: HashMap<KindKey, f64>,
    overall: Option<f64>,
}

fn average(old: Option<f64>, sample: f64) -> f64 {
    old.map_or(sample, |old| old + (sample - old) * NEWEST_WEIGHT)
}

impl HoldTimes {
    pub(super) fn record(&mut self, kind: KindKey, held: Duration) {
        let sample = held.as_secs_f64();
        let old = self.by_kind.get(&kind).copied();
        self.by_kind.insert(kind, average(old, sample));
        self.overall = Some(average(self.overall, sample));
    }

    pub(super) fn of(&self, kind: KindKey) -> Duration {
        let known = self.by_kind.get(&kind).copied();
        known.map_or_else(|| self.overall(), Duration::from_secs_f64)
    }

    pub(super) fn overall(&self) -> Duration {
        self.overall.map_or(INITIAL, Duration::from_secs_f64)
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}
