//! Budget that keeps the retries towards one destination at a small share of the first attempts.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Debug)]
pub struct BudgetSettings {
    /// Retries allowed per hundred first attempts.
    pub retries_per_hundred: u32,
    /// Retries allowed per second regardless of the number of first attempts.
    pub floor_per_second: u32,
    /// Retries allowed in one burst when there are few first attempts.
    pub burst: u32,
    /// Window in which first attempts are counted. A burst may hold as many retries as the window
    /// has first attempts, so that everything lost with one silent connection can be retried.
    pub burst_window: Duration,
    /// Time after an overload answer during which nothing is retried.
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

/// State of a [`RetryBudget`], which determines whether it allows a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetState {
    /// At least one retry is allowed.
    Available,
    /// No retry is left in the bucket.
    Empty,
    /// The destination is overloaded.
    Overloaded,
}

/// Token bucket of retries towards one destination service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    /// Retries taken and not yet refilled, in bucket units.
    taken: u64,
    rate: AttemptRate,
    refilled_at: MonoTime,
    overloaded_until: MonoTime,
}

/// Number of first attempts in the current and in the previous window.
#[derive(Clone, Copy, Debug)]
struct AttemptRate {
    window: Duration,
    started_at: MonoTime,
    current: u64,
    previous: u64,
}

impl AttemptRate {
    fn advance(&mut self, now: MonoTime) {
        let elapsed = now.since(self.started_at);
        if elapsed < self.window {
            return;
        }
        let adjacent = elapsed < 2 * self.window;
        self.previous = if adjacent { self.current } else { 0 };
        self.current = 0;
        self.started_at = now;
    }

    fn per_window(&self) -> u64 {
        self.previous.max(self.current)
    }
}

/// Bucket units of one retry.
const UNITS_PER_RETRY: u64 = 1_000_000;
/// Bucket units of one percent of a retry.
const UNITS_PER_RETRY_PERCENT: u64 = UNITS_PER_RETRY / 100;

impl RetryBudget {
    /// Creates a full bucket.
    pub fn new(now: MonoTime, settings: BudgetSettings) -> Self {
        Self {
            taken: 0,
            rate: AttemptRate {
                window: settings.burst_window,
                started_at: now,
                current: 0,
                previous: 0,
            },
            settings,
            refilled_at: now,
            overloaded_until: MonoTime::ZERO,
        }
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now: MonoTime) {
        self.refill(now);
        self.rate.current += 1;
        self.credit(u64::from(self.settings.retries_per_hundred) * UNITS_PER_RETRY_PERCENT);
    }

    /// Records a failure. A kind that reports an overload stops all retries for
    /// [`BudgetSettings::overload_hold`].
    pub fn record_failure(&mut self, now: MonoTime, kind: ErrorKind) {
        if is_overload(kind) {
            self.overloaded_until = now + self.settings.overload_hold;
        }
    }

    /// Returns the state of the budget.
    pub fn state(&mut self, now: MonoTime) -> BudgetState {
        self.state_with_reserve(now, 0)
    }

    /// Returns the state of the budget if `reserve_percent` of the bucket is left to others. A full
    /// bucket always allows one retry.
    fn state_with_reserve(&mut self, now: MonoTime, reserve_percent: u32) -> BudgetState {
        if now < self.overloaded_until {
            return BudgetState::Overloaded;
        }
        self.refill(now);
        let burst = self.rate.per_window().max(u64::from(self.settings.burst));
        let share = u64::from(100 - reserve_percent.min(100));
        if self.taken + UNITS_PER_RETRY
            > (burst * share * UNITS_PER_RETRY_PERCENT).max(UNITS_PER_RETRY)
        {
            return BudgetState::Empty;
        }
        BudgetState::Available
    }

    /// Takes one retry if the state is [`BudgetState::Available`].
    pub fn take(&mut self, now: MonoTime) -> BudgetState {
        self.take_with_reserve(now, 0)
    }

    /// Takes one retry if that leaves `reserve_percent` of the bucket to more valuable retries.
    pub fn take_with_reserve(&mut self, now: MonoTime, reserve_percent: u32) -> BudgetState {
        let state = self.state_with_reserve(now, reserve_percent);
        if state == BudgetState::Available {
            self.taken += UNITS_PER_RETRY;
        }
        state
    }

    /// Takes one retry that is made in any case, for example a call of a request that is itself a
    /// retry. The budget may become negative by as much as [`BudgetSettings::burst`]
    /// retries.
    pub fn charge(&mut self, now: MonoTime) {
        self.refill(now);
        let max_taken = 2 * u64::from(self.settings.burst) * UNITS_PER_RETRY;
        self.taken = (self.taken + UNITS_PER_RETRY).min(max_taken.max(self.taken));
    }

    fn refill(&mut self, now: MonoTime) {
        let elapsed = now.since(self.refilled_at).as_micros() as u64;
        self.refilled_at = self.refilled_at.max(now);
        // One retry per second is one bucket unit per microsecond.
        self.credit(elapsed.saturating_mul(u64::from(self.settings.floor_per_second)));
        self.rate.advance(now);
    }

    fn credit(&mut self, units: u64) {
        self.taken = self.taken.saturating_sub(units);
    }
}

/// Returns `true` if an error kind reports that a service of the chain is overloaded.
///
/// Such answers are passed up the chain unchanged and never retried.
pub fn is_overload(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded | ErrorKind::UpstreamOverloaded | ErrorKind::QueueTimeout
    )
}
