//! Control loop of the concurrency limit.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::baseline::Baselines;
use super::window::{Sample, Window};
use super::{LimitPolicy, LimitSettings};

/// Largest loss of throughput, as a share of the step down, with which a lower limit is kept.
const LOWER_MAX_LOSS: f64 = 0.4;
/// A trial of a lower limit may end early once it has the required samples divided by this.
const EARLY_SAMPLES_DIVISOR: u32 = 4;
/// Loss of throughput, as a share of the step down, above which the trial ends early.
const EARLY_MIN_LOSS: f64 = 0.8;
/// Smallest gain of throughput, as a share of the step up, with which a higher limit is kept.
const HIGHER_MIN_GAIN: f64 = 0.5;
/// Factor by which the pause between trials of a lower limit grows. Each trial costs goodput, so
/// they quickly become rare.
const LOWER_PAUSE_FACTOR: u32 = 4;
/// Smallest step of a trial of a higher limit, in percent of the limit.
const HIGHER_MIN_PERCENT: u32 = 10;
/// Shortest time until a new limit affects the latency.
const SETTLE_MIN: Duration = Duration::from_millis(20);
/// Longest time until a new limit affects the latency.
const SETTLE_MAX: Duration = Duration::from_secs(1);
/// Limit set after a series of decreases, in percent of the lowest limit that was kept.
const MARGIN_PERCENT: u32 = 130;
/// Limit after the backend server shed a request, in percent of the limit before.
const SHED_PERCENT: u32 = 90;
/// Shedding does not lower the limit below the announced slots divided by this.
const SHED_FLOOR_DIVISOR: u32 = 4;
/// Limit after a window without shedding, in percent of the limit before.
const RESTORE_PERCENT: u32 = 150;

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// No trial is running.
    Steady,
    /// Trial of a lower limit; `lowered` is `true` if an earlier one was kept just before.
    Lower {
        from: u32,
        throughput: f64,
        lowered: bool,
    },
    /// Trial of a higher limit.
    Higher { from: u32, throughput: f64 },
    /// The backend server shed requests; the limit is raised again to `up_to`.
    Restoring { up_to: u32 },
}

/// Concurrency limit of one backend server.
#[derive(Clone, Debug)]
pub(crate) struct LimitControl {
    settings: LimitSettings,
    announced: u32,
    limit: u32,
    phase: Phase,
    window: Window,
    baselines: Baselines,
    /// Time of the last decrease after shedding, or of the last increase while restoring.
    cut_at: MonoTime,
    next_lower: MonoTime,
    next_higher: MonoTime,
    lower_pause: Duration,
    higher_pause: Duration,
    higher_percent: u32,
    settle: Duration,
}

impl LimitControl {
    pub(crate) fn new(now: MonoTime, settings: LimitSettings, slots: u32) -> Self {
        let mut control = Self {
            announced: 0,
            limit: settings.initial.clamp(settings.min, settings.max),
            phase: Phase::Steady,
            window: Window::new(now),
            baselines: Baselines::new(),
            cut_at: now,
            next_lower: now + settings.lower_pause,
            next_higher: now + settings.higher_pause,
            lower_pause: settings.lower_pause,
            higher_pause: settings.higher_pause,
            higher_percent: settings.higher_percent,
            settle: SETTLE_MIN,
            settings,
        };
        control.set_slots(now, slots);
        control
    }

    /// Returns the current limit.
    pub(crate) fn get(&self) -> u32 {
        self.limit
    }

    /// Returns the time at which the limit may change without another sample.
    pub(crate) fn next_due(&self) -> Option<MonoTime> {
        match self.phase {
            Phase::Steady => None,
            Phase::Restoring { .. } => Some(self.cut_at + self.settings.window),
            Phase::Lower { .. } | Phase::Higher { .. } => {
                Some(self.window.started + self.settings.window_max)
            }
        }
    }

    /// Sets the limit to newly announced slots. If they are unchanged, the adapted limit stays.
    pub(crate) fn set_slots(&mut self, now: MonoTime, slots: u32) {
        if slots == self.announced || slots == 0 {
            return;
        }
        self.announced = slots;
        self.phase = Phase::Steady;
        self.set_limit(now, slots);
    }

    /// Records a completed request.
    pub(crate) fn record_completed(&mut self, now: MonoTime, sample: Sample) {
        // The latency still reflects the previous limit.
        if now < self.window.started {
            return;
        }
        let latency = self.baselines.record(sample.kind, sample.own);
        self.window.record(&sample, latency);
        let enough = self.window.count() >= self.settings.samples;
        let long_enough = now.since(self.window.started) >= self.settings.window;
        if long_enough && (enough || self.has_lower_failed()) {
            self.close_window(now);
        }
    }

    /// Returns `true` if part of the samples already shows that a lower limit costs throughput.
    fn has_lower_failed(&self) -> bool {
        let Phase::Lower {
            from, throughput, ..
        } = self.phase
        else {
            return false;
        };
        let step = 1.0 - f64::from(self.limit) / f64::from(from.max(1));
        self.window.count() >= self.settings.samples / EARLY_SAMPLES_DIVISOR
            && self.window.throughput() < throughput * (1.0 - step * EARLY_MIN_LOSS)
    }

    /// Records that the backend server shed a request while it had `in_flight` requests.
    pub(crate) fn record_shed(&mut self, now: MonoTime, in_flight: u32) {
        let fixed = self.settings.policy == LimitPolicy::Fixed;
        if fixed || now.since(self.cut_at) < self.settings.window {
            return;
        }
        let cut = in_flight.min(self.limit) * SHED_PERCENT / 100;
        let floor = self.announced / SHED_FLOOR_DIVISOR;
        let up_to = match self.phase {
            Phase::Restoring { up_to } => up_to,
            _ => self.limit * SHED_PERCENT / 100,
        };
        self.cut_at = now;
        self.phase = Phase::Restoring { up_to };
        self.set_limit(now, cut.max(floor));
    }

    /// Raises the limit once per window while restoring, else abandons a window that took too long.
    pub(crate) fn advance(&mut self, now: MonoTime) {
        if let Phase::Restoring { up_to } = self.phase {
            self.restore(now, up_to);
        } else if now.since(self.window.started) >= self.settings.window_max {
            self.abandon_window(now);
        }
    }

    fn restore(&mut self, now: MonoTime, up_to: u32) {
        if now.since(self.cut_at) < self.settings.window {
            return;
        }
        self.cut_at = now;
        let raised = self.limit * RESTORE_PERCENT / 100 + 1;
        if raised >= up_to {
            self.phase = Phase::Steady;
            self.next_higher = now + self.settings.lower_pause;
        }
        self.set_limit(now, raised.min(up_to.max(self.limit)));
    }

    fn abandon_window(&mut self, now: MonoTime) {
        if let Phase::Lower { from, .. } | Phase::Higher { from, .. } = self.phase {
            self.baselines.discard();
            // A trial without a result costs as much as any other.
            if matches!(self.phase, Phase::Lower { .. }) {
                self.lengthen_lower_pause();
            }
            self.next_lower = self.next_lower.max(now + self.lower_pause);
            return self.end_trial(now, from);
        }
        self.baselines.follow();
        self.window = Window::new(now);
    }

    fn close_window(&mut self, now: MonoTime) {
        match self.settings.policy {
            LimitPolicy::Trial => self.close_trial_window(now),
            LimitPolicy::AdditiveIncrease => self.close_additive_window(now),
            LimitPolicy::Gradient => self.close_gradient_window(now),
            LimitPolicy::Fixed => self.window = Window::new(now),
        }
    }

    fn close_trial_window(&mut self, now: MonoTime) {
        match self.phase {
            Phase::Steady => self.close_steady(now),
            Phase::Lower {
                from,
                throughput,
                lowered,
            } => self.close_lower(now, from, throughput, lowered),
            Phase::Higher { from, throughput } => self.close_higher(now, from, throughput),
            Phase::Restoring { .. } => self.window = Window::new(now),
        }
    }

    fn close_steady(&mut self, now: MonoTime) {
        let window = self.window;
        self.baselines.follow();
        self.window = Window::new(now);
        if !window.is_saturated() {
            return;
        }
        if self.is_slow(&window) || now >= self.next_lower {
            return self.try_lower(now, window.throughput(), false);
        }
        if now >= self.next_higher {
            self.try_higher(now, window.throughput());
        }
    }

    fn try_lower(&mut self, now: MonoTime, throughput: f64, lowered: bool) {
        let from = self.limit;
        self.phase = Phase::Lower {
            from,
            throughput,
            lowered,
        };
        self.set_limit(now, from * self.settings.lower_percent / 100);
    }

    fn try_higher(&mut self, now: MonoTime, throughput: f64) {
        let from = self.limit;
        self.phase = Phase::Higher { from, throughput };
        let added = (from * self.higher_percent).div_ceil(100);
        self.set_limit(now, from + added);
    }

    fn close_lower(&mut self, now: MonoTime, from: u32, before: f64, lowered: bool) {
        if !self.window.is_saturated() {
            return self.abandon_window(now);
        }
        let step = 1.0 - f64::from(self.limit) / f64::from(from.max(1));
        let throughput = self.window.throughput();
        if throughput >= before * (1.0 - step * LOWER_MAX_LOSS) && self.limit < from {
            self.baselines.discard();
            return self.try_lower(now, throughput, true);
        }
        // The latency does not depend on the concurrency, so it becomes the new baseline.
        self.baselines.adopt();
        self.lengthen_lower_pause();
        self.next_lower = now + self.lower_pause;
        // The last limit that was kept may have cost as much throughput as is tolerated.
        let margin = if lowered { MARGIN_PERCENT } else { 100 };
        self.end_trial(now, (from * margin).div_ceil(100));
    }

    fn lengthen_lower_pause(&mut self) {
        let longer = self.lower_pause * LOWER_PAUSE_FACTOR;
        self.lower_pause = longer.min(self.settings.trial_pause_max);
    }

    fn close_higher(&mut self, now: MonoTime, from: u32, before: f64) {
        let window = self.window;
        let step = f64::from(self.limit) / f64::from(from.max(1)) - 1.0;
        let gained = window.throughput() >= before * (1.0 + step * HIGHER_MIN_GAIN);
        if !gained && !window.is_saturated() {
            return self.abandon_window(now);
        }
        self.baselines.discard();
        if gained && self.limit > from {
            self.higher_pause = self.settings.higher_pause;
            return self.keep_higher(now, &window);
        }
        self.shrink_higher_step();
        self.end_trial(now, from);
    }

    /// Keeps a higher limit and tries the next one, unless no request waits any more.
    fn keep_higher(&mut self, now: MonoTime, window: &Window) {
        if window.is_saturated() {
            self.try_higher(now, window.throughput());
        } else {
            self.end_trial(now, self.limit);
        }
    }

    /// Halves the step of the next trial, or resets it to the largest after a longer pause.
    fn shrink_higher_step(&mut self) {
        self.higher_percent /= 2;
        if self.higher_percent < HIGHER_MIN_PERCENT {
            self.higher_percent = self.settings.higher_percent;
            self.higher_pause = (self.higher_pause * 2).min(self.settings.trial_pause_max);
        }
    }

    fn end_trial(&mut self, now: MonoTime, limit: u32) {
        self.phase = Phase::Steady;
        let is_shrunk = self.higher_percent < self.settings.higher_percent;
        let pause = if is_shrunk {
            Duration::ZERO
        } else {
            self.higher_pause
        };
        self.next_higher = now + pause;
        self.set_limit(now, limit);
    }

    fn close_additive_window(&mut self, now: MonoTime) {
        let window = self.window;
        let limit = if self.is_slow(&window) {
            self.limit * SHED_PERCENT / 100
        } else {
            self.limit + u32::from(window.is_saturated())
        };
        self.baselines.follow();
        self.set_limit(now, limit);
    }

    fn close_gradient_window(&mut self, now: MonoTime) {
        let window = self.window;
        let tolerance = f64::from(self.settings.tolerance_percent) / 100.0;
        let gradient = (tolerance / window.latency()).clamp(0.5, 1.0);
        let limit = f64::from(self.limit) * gradient;
        let headroom = f64::from(self.limit).sqrt();
        let increase = if window.is_saturated() { headroom } else { 0.0 };
        self.baselines.follow();
        self.set_limit(now, (limit + increase) as u32);
    }

    fn is_slow(&self, window: &Window) -> bool {
        window.latency() * 100.0 >= f64::from(self.settings.tolerance_percent)
    }

    fn set_limit(&mut self, now: MonoTime, limit: u32) {
        if self.window.count() > 0 {
            self.settle = (self.window.own() * 2).clamp(SETTLE_MIN, SETTLE_MAX);
        }
        self.limit = limit.clamp(self.settings.min, self.settings.max);
        self.window = Window::new(now + self.settle);
    }
}
