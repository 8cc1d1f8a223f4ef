//! Limit on the open requests of one kind, derived from its completion rate.
//!
//! A request whose calls wait for downstream capacity holds its slot for long. If all requests are
//! admitted, all become late. If only as many are open as can be completed in time, the admitted
//! ones are served in time and the others are refused before any work is done.

use std::collections::VecDeque;
use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::KindKey;

/// Interval over which completions are counted.
const BUCKET: Duration = Duration::from_millis(100);
/// Number of intervals over which the rate is computed: enough for kinds of a few requests a
/// second, few enough to follow a burst.
const BUCKETS: usize = 10;

/// Open and completed requests of one kind.
#[derive(Clone, Debug, Default)]
struct KindCounts {
    open: u32,
    /// Completions in each of the last intervals, newest last.
    completed: VecDeque<u32>,
    newest_index: u64,
    first_at: Option<MonoTime>,
}

/// Limits on the open requests of all kinds.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenLimits {
    kinds: HashMap<KindKey, KindCounts>,
}

fn bucket_index(now: MonoTime) -> u64 {
    now.as_micros() / BUCKET.as_micros() as u64
}

impl KindCounts {
    fn advance(&mut self, now: MonoTime) {
        let newest = bucket_index(now);
        let steps = newest.saturating_sub(self.newest_index).min(BUCKETS as u64);
        for _ in 0..steps {
            self.completed.push_back(0);
        }
        self.newest_index = self.newest_index.max(newest);
        while self.completed.len() > BUCKETS {
            self.completed.pop_front();
        }
    }

    /// Completions per second.
    fn rate(&self) -> f64 {
        let sum: u32 = self.completed.iter().sum();
        f64::from(sum) / (BUCKET.as_secs_f64() * BUCKETS as f64)
    }
}

impl OpenLimits {
    /// Returns `true` if one more request may be open when each must complete within `time`.
    /// `least` requests are always allowed, and any number until the completion rate is known.
    pub(super) fn allows_one_more(
        &mut self,
        now: MonoTime,
        kind: KindKey,
        time: Duration,
        least: u32,
    ) -> bool {
        let kind = self.kinds.entry(kind).or_default();
        kind.advance(now);
        let first_at = *kind.first_at.get_or_insert(now);
        if now.since(first_at) < BUCKET * BUCKETS as u32 {
            // The rate is not available yet.
            return true;
        }
        let most = kind.rate() * time.as_secs_f64();
        f64::from(kind.open) < most.max(f64::from(least))
    }

    /// Returns the average time between completions, at most 1 s.
    pub(super) fn completion_interval(&mut self, now: MonoTime, kind: KindKey) -> Duration {
        let kind = self.kinds.entry(kind).or_default();
        kind.advance(now);
        Duration::from_secs_f64(1.0 / kind.rate().max(1.0))
    }

    /// Returns the number of open requests of the kind.
    pub(super) fn open(&self, kind: KindKey) -> u32 {
        self.kinds.get(&kind).map_or(0, |kind| kind.open)
    }

    /// Returns the completions per second of the kind, as of its last request.
    pub(super) fn rate(&self, kind: KindKey) -> f64 {
        self.kinds.get(&kind).map_or(0.0, KindCounts::rate)
    }

    pub(super) fn record_opened(&mut self, kind: KindKey) {
        self.kinds.entry(kind).or_default().open += 1;
    }

    /// Records the end of a request. `completed` is `false` if the request must not count towards
    /// the completion rate, because it was not answered and may have been delayed downstream.
    pub(super) fn record_closed(&mut self, now: MonoTime, kind: KindKey, completed: bool) {
        let kind = self.kinds.entry(kind).or_default();
        kind.open = kind.open.saturating_sub(1);
        kind.advance(now);
        if completed && let Some(newest) = kind.completed.back_mut() {
            *newest += 1;
        }
    }
}
