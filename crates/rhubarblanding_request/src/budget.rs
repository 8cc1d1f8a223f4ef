//! Budget that keeps the retries towards one destination a small share of its first attempts.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Debug)]
pub struct BudgetSettings {
    /// Retries per hundred first attempts.
    pub retries_per_hundred: u32,
    /// Retries per second that are allowed also with few first attempts.
    pub floor_per_second: u32,
    /// Retries that may follow each other at once with few first attempts.
    pub burst: u32,
    /// Time whose first attempts may be sent again at once with many, so that all that was lost
    /// with one silent connection is sent again.
    pub burst_window: Duration,
    /// Time after an overload answer during which nothing is sent again.
    pub overload_hold: Duration,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            retries_per_hundred: 10,
            floor_per_second: 2,
            burst: 20,
            burst_window: Duration::from_secs(1),
            overload_hold: Duration::from_millis(500),
        }
    }
}

/// Whether a [`RetryBudget`] allows a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetState {
    /// At least one retry is allowed.
    Available,
    /// The share of retries is used up.
    Empty,
    /// The destination is overloaded.
    Overloaded,
}

/// Token bucket of retries towards one destination service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    /// Retries taken and not yet made up for, in units of the bucket.
    taken: u64,
    rate: AttemptRate,
    refilled_at: MonoTime,
    overloaded_until: MonoTime,
}

/// First attempts in the present and in the last window.
#[derive(Clone, Copy, Debug)]
struct AttemptRate {
    window: Duration,
    since: MonoTime,
    present: u64,
    last: u64,
}

impl AttemptRate {
    fn advance(&mut self, now: MonoTime) {
        let elapsed = now.since(self.since);
        if elapsed < self.window {
            return;
        }
        let adjacent = elapsed < 2 * self.window;
        self.last = if adjacent { self.present } else { 0 };
        self.present = 0;
        self.since = now;
    }

    fn per_window(&self) -> u64 {
        self.last.max(self.present)
    }
}

/// Bucket units of one retry.
const RETRY: u64 = 1_000_000;
/// Bucket units of one retry per hundred.
const PERCENT: u64 = RETRY / 100;

impl RetryBudget {
    /// Creates a bucket of which nothing is taken.
    pub fn new(now: MonoTime, settings: BudgetSettings) -> Self {
        Self {
            taken: 0,
            rate: AttemptRate {
                window: settings.burst_window,
                since: now,
                present: 0,
                last: 0,
            },
            settings,
            refilled_at: now,
            overloaded_until: MonoTime::ZERO,
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now: MonoTime) {
        self.refill(now);
        self.rate.present += 1;
        self.make_up(u64::from(self.settings.retries_per_hundred) * PERCENT);
    }

    /// Records a failure; kinds that say that the destination is overloaded stop all retries.
    pub fn record_failure(&mut self, now: MonoTime, kind: ErrorKind) {
        if is_overload(kind) {
            self.overloaded_until = now + self.settings.overload_hold;
        }
    }

    /// Whether a retry is allowed.
    pub fn state(&mut self, now: MonoTime) -> BudgetState {
        self.state_with_reserve(now, 0)
    }

    /// Whether a retry is allowed that leaves `reserve_percent` of the bucket to others. From a
    /// full bucket any may be taken.
    fn state_with_reserve(&mut self, now: MonoTime, reserve_percent: u32) -> BudgetState {
        if now < self.overloaded_until {
            return BudgetState::Overloaded;
        }
        self.refill(now);
        let burst = self.rate.per_window().max(u64::from(self.settings.burst));
        let share = u64::from(100 - reserve_percent.min(100));
        if self.taken + RETRY > (burst * share * PERCENT).max(RETRY) {
            return BudgetState::Empty;
        }
        BudgetState::Available
    }

    /// Takes one retry, if the state is [`BudgetState::Available`].
    pub fn take(&mut self, now: MonoTime) -> BudgetState {
        self.take_with_reserve(now, 0)
    }

    /// Takes one retry if that leaves `reserve_percent` of the bucket to retries that gain more.
    pub fn take_with_reserve(&mut self, now: MonoTime, reserve_percent: u32) -> BudgetState {
        let state = self.state_with_reserve(now, reserve_percent);
        if state == BudgetState::Available {
            self.taken += RETRY;
        }
        state
    }

    /// Takes one retry that is made in any case, for example a call of a request that was itself
    /// sent again. The budget may go into debt by as much as `burst` retries.
    pub fn charge(&mut self, now: MonoTime) {
        self.refill(now);
        let most = 2 * u64::from(self.settings.burst) * RETRY;
        self.taken = (self.taken + RETRY).min(most.max(self.taken));
    }

    fn refill(&mut self, now: MonoTime) {
        let elapsed = now.since(self.refilled_at).as_micros() as u64;
        self.refilled_at = self.refilled_at.max(now);
        // One retry per second is one bucket unit per microsecond.
        self.make_up(elapsed.saturating_mul(u64::from(self.settings.floor_per_second)));
        self.rate.advance(now);
    }

    fn make_up(&mut self, units: u64) {
        self.taken = self.taken.saturating_sub(units);
    }
}

/// Whether an error kind says that a service of the chain is overloaded.
///
/// Such answers are passed up the chain unchanged and never sent again.
pub fn is_overload(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded | ErrorKind::UpstreamOverloaded | ErrorKind::QueueTimeout
    )
}
