//! Estimates of the time that requests hold a slot.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Kind of request, numbered by the owner of the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KindKey(pub u64);

/// Weight of the newest sample in an average: the average follows a change within about twenty
/// samples and changes little with a single one.
const NEWEST_WEIGHT: f64 = 0.1;
/// Estimate before the first sample: small enough to admit, large enough to queue briefly.
const INITIAL: Duration = Duration::from_millis(20);

/// Time without a sample in which an average is halved. A kind whose average is too slow for its
/// objective gets no slot on a busy backend server, and so no new sample that would correct it.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Average of the time that requests hold a slot, in seconds.
#[derive(Clone, Copy, Debug)]
struct Average {
    seconds: f64,
    sampled_at: MonoTime,
}

impl Average {
    fn record(old: Option<Self>, now: MonoTime, sample: f64) -> Self {
        let seconds = old.map_or(sample, |old| {
            old.seconds + (sample - old.seconds) * NEWEST_WEIGHT
        });
        Self {
            seconds,
            sampled_at: now,
        }
    }

    fn at(self, now: MonoTime) -> Duration {
        let age = now.since(self.sampled_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        Duration::from_secs_f64(self.seconds * (-age).exp2())
    }
}

/// Time over which a mean hold time is taken: long against a slowness of parts of a second, short
/// against the time for which callers wait.
const RECENT: Duration = Duration::from_millis(1_500);
/// Least weight of the samples behind a mean hold time that is reported.
const RECENT_MIN: f64 = 2.0;

/// Mean over the samples of the last seconds. Unlike an [`Average`] it does not shrink with age.
#[derive(Clone, Copy, Debug)]
struct Recent {
    weight: f64,
    seconds: f64,
    sampled_at: MonoTime,
}

impl Recent {
    fn fade(self, now: MonoTime) -> f64 {
        let age = now.since(self.sampled_at).as_secs_f64() / RECENT.as_secs_f64();
        (-age).exp()
    }

    fn record(old: Option<Self>, now: MonoTime, sample: f64) -> Self {
        let (weight, seconds) = old.map_or((0.0, 0.0), |old| {
            let fade = old.fade(now);
            (old.weight * fade, old.seconds * fade)
        });
        Self {
            weight: weight + 1.0,
            seconds: seconds + sample,
            sampled_at: now,
        }
    }

    fn mean(self, now: MonoTime) -> Option<Duration> {
        let is_known = self.weight * self.fade(now) >= RECENT_MIN;
        is_known.then(|| Duration::from_secs_f64(self.seconds / self.weight))
    }
}

/// Factor by which each sample lowers a longest time that it does not reach: one of hundreds of
/// samples is remembered.
const LONGEST_DECAY: f64 = 0.995;

/// Longest times that requests of each kind took lately. They do not shrink with age, as a seldom kind
/// must not pass for a quick one.
#[derive(Clone, Debug, Default)]
pub struct LongestTimes {
    by_kind: HashMap<KindKey, Duration>,
}

impl LongestTimes {
    /// Records the time that a request took.
    pub fn record(&mut self, kind: KindKey, took: Duration) {
        let longest = self.by_kind.entry(kind).or_default();
        *longest = took.max(longest.mul_f64(LONGEST_DECAY));
    }

    /// Returns the longest time of a kind; `None` before the first one was recorded.
    pub fn get(&self, kind: KindKey) -> Option<Duration> {
        self.by_kind.get(&kind).copied()
    }
}

/// Averages of the time that requests hold a slot.
#[derive(Clone, Debug, Default)]
pub(super) struct HoldTimes {
    by_kind: HashMap<KindKey, Average>,
    overall: Option<Average>,
    recent: HashMap<KindKey, Recent>,
    longest: LongestTimes,
}

impl HoldTimes {
    pub(super) fn record(&mut self, now: MonoTime, kind: KindKey, held: Duration) {
        let sample = held.as_secs_f64();
        let old = self.by_kind.get(&kind).copied();
        self.by_kind.insert(kind, Average::record(old, now, sample));
        let recent = self.recent.get(&kind).copied();
        let recent = Recent::record(recent, now, sample);
        self.recent.insert(kind, recent);
        self.longest.record(kind, held);
        self.overall = Some(Average::record(self.overall, now, sample));
    }

    pub(super) fn estimate(&self, now: MonoTime, kind: KindKey) -> Duration {
        let known = self.by_kind.get(&kind);
        known.map_or_else(|| self.overall(now), |average| average.at(now))
    }

    /// Returns the mean over the last seconds; `None` without enough samples.
    pub(super) fn recent(&self, now: MonoTime, kind: KindKey) -> Option<Duration> {
        self.recent.get(&kind)?.mean(now)
    }

    pub(super) fn longest(&self, kind: KindKey) -> Option<Duration> {
        self.longest.get(kind)
    }

    pub(super) fn overall(&self, now: MonoTime) -> Duration {
        self.overall.map_or(INITIAL, |average| average.at(now))
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}
