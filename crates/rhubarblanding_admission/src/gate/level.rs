//! Admission level, recomputed once per window from demand, capacity and queue wait.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Number of priorities per bin of the demand histogram.
const BIN_WIDTH: u16 = 16;
/// Number of bins of the demand histogram.
const BINS: usize = (AdmissionLevel::MAX.0 / BIN_WIDTH) as usize + 1;
/// Admitted demand in percent of the capacity; the excess keeps the queue from running empty.
const HEADROOM_PERCENT: u32 = 130;
/// Decrease of the level per window without overload: the highest level falls to the lowest in 16
/// windows.
const FALL_PER_WINDOW: u16 = 64;
/// Overloaded windows after which the pressure grows by one.
const WINDOWS_PER_PRESSURE: u32 = 10;
/// Maximum pressure.
const PRESSURE_MAX: u32 = 5;

/// Demand and capacity of the current window.
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

    /// Overload pressure: number of doublings of the retry delay, by the duration of the overload.
    pub(super) fn pressure(&self) -> u32 {
        (self.overloaded_windows / WINDOWS_PER_PRESSURE).min(PRESSURE_MAX)
    }

    /// Returns the end of the window, if the level can change then.
    pub(super) fn next_due(&self) -> Option<MonoTime> {
        let unchanged = self.level == AdmissionLevel::OPEN && self.window.refused == 0;
        (!unchanged).then_some(self.window.ends_at)
    }

    pub(super) fn record_arrival(&mut self, priority: Priority) {
        self.window.demand[usize::from(priority.value() / BIN_WIDTH)] += 1;
    }

    pub(super) fn record_admission(&mut self, waited: Duration) {
        self.window.admitted += 1;
        self.window.waited += waited;
    }

    /// Records the refusal, due to load, of a request that the level alone would admit.
    pub(super) fn record_refusal(&mut self) {
        self.window.refused += 1;
    }

    /// Ends the window if it is over. Returns `true` if the level rose.
    pub(super) fn advance(&mut self, now: MonoTime) -> bool {
        if now < self.window.ends_at {
            return false;
        }
        let late = now.since(self.window.ends_at).as_micros();
        let missed = (late / self.window_len.as_micros().max(1)).min(u128::from(u16::MAX)) as u16;
        let before = self.level;
        self.close_window();
        self.lower(missed);
        self.window = Window::until(now + self.window_len);
        self.level > before
    }

    fn close_window(&mut self) {
        let window = &self.window;
        let waited_long = window.mean_wait() >= self.overload_wait;
        if window.refused == 0 && !waited_long {
            self.overloaded_windows = self.overloaded_windows.saturating_sub(2);
            self.lower(1);
            return;
        }
        self.overloaded_windows = self.overloaded_windows.saturating_add(1);
        self.overloaded_windows = self
            .overloaded_windows
            .min(WINDOWS_PER_PRESSURE * PRESSURE_MAX);
        self.level = self.level.max(self.level_for_capacity());
    }

    /// Returns the highest level at which the admitted demand fills the capacity and the headroom.
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

    fn lower(&mut self, windows: u16) {
        let decrease = FALL_PER_WINDOW.saturating_mul(windows);
        self.level = AdmissionLevel(self.level.0.saturating_sub(decrease));
    }
}
