//! Budget of retries towards one service, shared by all nodes and bounded in every window of time.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Slots of one window. The oldest slot of retries counts whole, so that the bound holds for
/// windows that begin inside it.
const SLOTS: usize = 20;
/// Slots that are kept: those of a window and of the one before it.
const KEPT: usize = 2 * SLOTS;
/// Complete slots over which the amplification is bounded, together with the current one.
const BURST_SLOTS: usize = 2;

/// Settings of a [`WindowBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowSettings {
    /// Length of the window in which retries are bounded.
    pub window: Duration,
    /// Retries per first attempt in a window.
    pub ratio: f64,
    /// Retries in a window beyond that share.
    pub slack: f64,
    /// Retries per first attempt in the latest tenth of a window, so that a service without room is
    /// not flooded by all retries of a window at once.
    pub burst_ratio: f64,
}

/// First attempts and retries in one slot.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    first: u32,
    retries: u32,
}

/// Bounds the retries of one node in every window to a share of its first attempts.
///
/// The share is taken of the average over three windows: the one with the retries, the one half a
/// window before it, and the one before it. A service that begins to fail keeps requests from being
/// made, and so lowers the first attempts of the latest window; the others then still allow the
/// retries that are needed most. As an average is taken and not the greatest of the three, the sum
/// over all nodes is bounded by the greatest of the sums, however load moves between nodes.
///
/// A retry also counts in windows that end later, whose first attempts are not known yet. Each of
/// them is checked as if no further request came.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    settings: WindowSettings,
    /// Ring; `slots[newest]` is the current slot.
    slots: [Slot; KEPT],
    newest: usize,
    began_at: MonoTime,
    /// Without the current slot, for windows that end so many slots from now.
    ahead: [Ahead; SLOTS],
}

/// First attempts and retries that count in a window which ends later.
#[derive(Clone, Copy, Debug, Default)]
struct Ahead {
    /// Average first attempts of the three windows.
    first: f64,
    retries: u32,
}

impl WindowBudget {
    /// Creates a budget without history.
    pub fn new(now: MonoTime, settings: WindowSettings) -> Self {
        Self {
            settings,
            slots: [Slot::default(); KEPT],
            newest: 0,
            began_at: now,
            ahead: [Ahead::default(); SLOTS],
        }
    }

    /// Changes the slack, for example because the number of nodes that share the bound changed.
    pub fn set_slack(&mut self, slack: f64) {
        self.settings.slack = slack;
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, now: MonoTime) {
        self.advance(now);
        self.slots[self.newest].first += 1;
    }

    /// Records a retry that is made in any case, for example a call of a request that is itself a
    /// retry.
    pub fn charge(&mut self, now: MonoTime) {
        self.advance(now);
        self.slots[self.newest].retries += 1;
    }

    /// Takes a retry if that leaves `reserve_percent` of the window's retries to more valuable
    /// ones; returns `true` if it was taken.
    pub fn take(&mut self, now: MonoTime, reserve_percent: u32) -> bool {
        self.advance(now);
        let share = f64::from(100 - reserve_percent.min(100)) / 100.0;
        let fits = |end: usize| {
            let (limit, retries) = self.window(end);
            f64::from(retries + 1) <= limit * share
        };
        let is_allowed = (0..SLOTS).all(fits) && self.fits_burst();
        if is_allowed {
            self.slots[self.newest].retries += 1;
        }
        is_allowed
    }

    /// Returns the limit and the retries of the window that ends `end` slots from now.
    fn window(&self, end: usize) -> (f64, u32) {
        let current = self.slots[self.newest];
        // The current slot is part of the latest window, and later of the one before it too.
        let windows = if end < SLOTS / 2 { 1.0 } else { 2.0 };
        let Ahead { first, retries } = self.ahead[end];
        let first = first + f64::from(current.first) * windows / 3.0;
        let limit = self.settings.ratio * first + self.settings.slack;
        (limit, retries + current.retries)
    }

    fn fits_burst(&self) -> bool {
        let ages = 0..=BURST_SLOTS;
        let first: u32 = ages.clone().map(|age| self.slot(age).first).sum();
        let retries: u32 = ages.map(|age| self.slot(age).retries).sum();
        let slack = self.settings.slack.max(1.0);
        f64::from(retries + 1) <= self.settings.burst_ratio * f64::from(first) + slack
    }

    /// Returns the slot that is `age` slots old.
    fn slot(&self, age: usize) -> Slot {
        self.slots[(self.newest + KEPT - age) % KEPT]
    }

    fn advance(&mut self, now: MonoTime) {
        let length = self.settings.window / SLOTS as u32;
        let mut passed = 0;
        while now.since(self.began_at) >= length && passed < KEPT {
            self.newest = (self.newest + 1) % KEPT;
            self.slots[self.newest] = Slot::default();
            self.began_at = self.began_at + length;
            passed += 1;
        }
        if passed == KEPT {
            self.began_at = now;
        }
        if passed > 0 {
            self.sum_earlier();
        }
    }

    fn sum_earlier(&mut self) {
        for end in 0..SLOTS {
            self.ahead[end] = self.earlier(end);
        }
    }

    /// Sums the earlier slots for the window that ends `end` slots from now.
    fn earlier(&self, end: usize) -> Ahead {
        // A window holds the ages from its end, which may be in the future, to its begin.
        let first = |age: usize| -> u32 {
            let ages = age.saturating_sub(end).max(1)..(age + SLOTS).saturating_sub(end).min(KEPT);
            ages.map(|age| self.slot(age).first).sum()
        };
        let windows = first(0) + first(SLOTS / 2) + first(SLOTS);
        Ahead {
            first: f64::from(windows) / 3.0,
            retries: (1..=SLOTS - end).map(|age| self.slot(age).retries).sum(),
        }
    }
}
