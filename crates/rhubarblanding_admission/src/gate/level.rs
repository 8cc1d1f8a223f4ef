//! Admission level, set once per window from demand, capacity and queue wait.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Priorities that share one bin of the demand histogram.
const BIN_WIDTH: u16 = 16;
/// Number of bins of the demand histogram.
const BINS: usize = (AdmissionLevel::MAX.0 / BIN_WIDTH) as usize + 1;
/// Demand in percent of the capacity that is let through to keep the queue from running empty.
const HEADROOM_PERCENT: u32 = 130;
/// Steps by which the level falls per window without overload: from the highest to the lowest
/// takes 16 windows.
const FALL_PER_WINDOW: u16 = 64;
/// Windows in a row with overload after which the pressure grows by one.
const WINDOWS_PER_PRESSURE: u32 = 10;
/// Greatest pressure.
const PRESSURE_MAX: u32 = 5;

/// Demand and capacity of the window that runs.
#[derive(Clone, Debug)]
struct Window {
    ends_at: MonoTime,
    demand: [u32; BINS],
    admitted: u32,
    refused: u32,
    waited: Duration,
}

impl Window {
    fn until(ends_at: MonoTime) -> Self {
        Self {
            ends_at,
            demand: [0; BINS],
            admitted: 0,
            refused: 0,
            waited: Duration::ZERO,
        }
    }

    fn mean_wait(&self) -> Duration {
        self.waited / self.admitted.max(1)
    }
}

/// Controller of the admission level of one backend server.
#[derive(Clone, Debug)]
pub(super) struct LevelControl {
    window_len: Duration,
    overload_wait: Duration,
    level: AdmissionLevel,
    window: Window,
    overloaded_windows: u32,
}

impl LevelControl {
    pub(super) fn new(now: MonoTime, window_len: Duration, overload_wait: Duration) -> Self {
        Self {
            window_len,
            overload_wait,
            level: AdmissionLevel::OPEN,
            window: Window::until(now + window_len),
            overloaded_windows: 0,
        }
    }

    pub(super) fn level(&self) -> AdmissionLevel {
        self.level
    }

    /// How long the overload has lasted, in doublings of the time asked of refused callers.
    pub(super) fn pressure(&self) -> u32 {
        (self.overloaded_windows / WINDOWS_PER_PRESSURE).min(PRESSURE_MAX)
    }

    /// End of the window, if the level can change then.
    pub(super) fn next_due(&self) -> Option<MonoTime> {
        let quiet = self.level == AdmissionLevel::OPEN && self.window.refused == 0;
        (!quiet).then_some(self.window.ends_at)
    }

    pub(super) fn arrived(&mut self, priority: Priority) {
        self.window.demand[usize::from(priority.value() / BIN_WIDTH)] += 1;
    }

    pub(super) fn admitted(&mut self, waited: Duration) {
        self.window.admitted += 1;
        self.window.waited += waited;
    }

    /// Records a refusal for load of a request that the level itself would admit.
    pub(super) fn refused(&mut self) {
        self.window.refused += 1;
    }

    /// Ends the window if it is over. Returns whether the level rose.
    pub(super) fn advance(&mut self, now: MonoTime) -> bool {
        if now < self.window.ends_at {
            return false;
        }
        let late = now.since(self.window.ends_at).as_micros();
        let missed = (late / self.window_len.as_micros().max(1)).min(u128::from(u16::MAX)) as u16;
        let before = self.level;
        self.close_window();
        self.fall(missed);
        self.window = Window::until(now + self.window_len);
        self.level > before
    }

    fn close_window(&mut self) {
        let window = &self.window;
        let waits = window.mean_wait() >= self.overload_wait;
        if window.refused == 0 && !waits {
            self.overloaded_windows = self.overloaded_windows.saturating_sub(2);
            self.fall(1);
            return;
        }
        self.overloaded_windows = self.overloaded_windows.saturating_add(1);
        self.overloaded_windows = self
            .overloaded_windows
            .min(WINDOWS_PER_PRESSURE * PRESSURE_MAX);
        self.level = self.level.max(self.level_for_capacity());
    }

    /// Highest level at which the demand still fills the capacity and the headroom.
    fn level_for_capacity(&self) -> AdmissionLevel {
        let wanted = (self.window.admitted * HEADROOM_PERCENT)
            .div_ceil(100)
            .max(1);
        let mut demand = 0;
        for bin in (0..BINS).rev() {
            demand += self.window.demand[bin];
            if demand >= wanted {
                return AdmissionLevel(bin as u16 * BIN_WIDTH);
            }
        }
        AdmissionLevel::OPEN
    }

    fn fall(&mut self, windows: u16) {
        let drop = FALL_PER_WINDOW.saturating_mul(windows);
        self.level = AdmissionLevel(self.level.0.saturating_sub(drop));
    }
}
