//! How many requests of one kind may be open at a time.
//!
//! A request whose calls find no room further down holds its slot for long. If all that arrive are
//! let in, each of them becomes late; with no more open than are completed within their time, those
//! that are let in are served in time, and the others are refused before any work is done.

use std::collections::VecDeque;
use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::KindKey;

/// Length of one count of completions.
const BUCKET: Duration = Duration::from_millis(100);
/// Counts that make up the rate: long enough for kinds of a few requests a second, short enough to
/// follow a burst.
const BUCKETS: usize = 10;

/// Requests of one kind.
#[derive(Clone, Debug, Default)]
struct Kind {
    open: u32,
    /// Completions in each of the last intervals, newest last.
    completed: VecDeque<u32>,
    newest: u64,
    first_at: Option<MonoTime>,
}

/// Requests of all kinds.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenLimits {
    kinds: HashMap<KindKey, Kind>,
}

fn interval(now: MonoTime) -> u64 {
    now.as_micros() / BUCKET.as_micros() as u64
}

impl Kind {
    fn advance(&mut self, now: MonoTime) {
        let newest = interval(now);
        let steps = newest.saturating_sub(self.newest).min(BUCKETS as u64);
        for _ in 0..steps {
            self.completed.push_back(0);
        }
        self.newest = self.newest.max(newest);
        while self.completed.len() > BUCKETS {
            self.completed.pop_front();
        }
    }

    /// Completions in a second.
    fn rate(&self) -> f64 {
        let sum: u32 = self.completed.iter().sum();
        f64::from(sum) / (BUCKET.as_secs_f64() * BUCKETS as f64)
    }
}

impl OpenLimits {
    /// Whether one more request may be open, each of which is to take `time` at most. `least` may
    /// be open in any case, and any number until the rate of completions is known.
    pub(super) fn has_room(
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
            // The rate is not known yet.
            return true;
        }
        let most = kind.rate() * time.as_secs_f64();
        f64::from(kind.open) < most.max(f64::from(least))
    }

    /// Time until one of the open requests completes.
    pub(super) fn interval(&mut self, now: MonoTime, kind: KindKey) -> Duration {
        let kind = self.kinds.entry(kind).or_default();
        kind.advance(now);
        Duration::from_secs_f64(1.0 / kind.rate().max(1.0))
    }

    /// Open requests of the kind.
    pub(super) fn open(&self, kind: KindKey) -> u32 {
        self.kinds.get(&kind).map_or(0, |kind| kind.open)
    }

    /// Completions of the kind in a second, as of its last request.
    pub(super) fn rate(&self, kind: KindKey) -> f64 {
        self.kinds.get(&kind).map_or(0.0, Kind::rate)
    }

    pub(super) fn opened(&mut self, kind: KindKey) {
        self.kinds.entry(kind).or_default().open += 1;
    }

    /// Counts the end of a request. `completed` unless it may have been held up in vain.
    pub(super) fn closed(&mut self, now: MonoTime, kind: KindKey, completed: bool) {
        let kind = self.kinds.entry(kind).or_default();
        kind.open = kind.open.saturating_sub(1);
        kind.advance(now);
        if completed && let Some(newest) = kind.completed.back_mut() {
            *newest += 1;
        }
    }
}
