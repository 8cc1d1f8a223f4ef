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
    /// Retries that can be saved up.
    pub burst: u32,
    /// Time after an overload answer during which nothing is sent again.
    pub overload_hold: Duration,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            retries_per_hundred: 10,
            floor_per_second: 2,
            burst: 20,
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
    micro_retries: u64,
    refilled_at: MonoTime,
    overloaded_until: MonoTime,
}

/// Bucket units of one retry.
const RETRY: u64 = 1_000_000;
/// Bucket units of one retry per hundred.
const PERCENT: u64 = RETRY / 100;

impl RetryBudget {
    /// Creates a full bucket.
    pub fn new(now: MonoTime, settings: BudgetSettings) -> Self {
        Self {
            micro_retries: u64::from(settings.burst) * RETRY,
            settings,
            refilled_at: now,
            overloaded_until: MonoTime::ZERO,
        }
    }

    /// Records a first attempt.
    pub fn first_attempt(&mut self, now: MonoTime) {
        self.refill(now);
        self.deposit(u64::from(self.settings.retries_per_hundred) * PERCENT);
    }

    /// Records a failure; kinds that say that the destination is overloaded stop all retries.
    pub fn observe(&mut self, now: MonoTime, kind: ErrorKind) {
        if is_overload(kind) {
            self.overloaded_until = now + self.settings.overload_hold;
        }
    }

    /// Whether a retry is allowed.
    pub fn state(&mut self, now: MonoTime) -> BudgetState {
        if now < self.overloaded_until {
            return BudgetState::Overloaded;
        }
        self.refill(now);
        if self.micro_retries < RETRY {
            return BudgetState::Empty;
        }
        BudgetState::Available
    }

    /// Takes one retry, if the state is [`BudgetState::Available`].
    pub fn take(&mut self, now: MonoTime) -> BudgetState {
        let state = self.state(now);
        if state == BudgetState::Available {
            self.micro_retries -= RETRY;
        }
        state
    }

    fn refill(&mut self, now: MonoTime) {
        let elapsed = now.since(self.refilled_at).as_micros() as u64;
        self.refilled_at = self.refilled_at.max(now);
        // One retry per second is one bucket unit per microsecond.
        self.deposit(elapsed.saturating_mul(u64::from(self.settings.floor_per_second)));
    }

    fn deposit(&mut self, units: u64) {
        let full = u64::from(self.settings.burst) * RETRY;
        self.micro_retries = self.micro_retries.saturating_add(units).min(full);
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
