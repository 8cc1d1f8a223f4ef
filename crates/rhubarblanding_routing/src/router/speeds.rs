//! Speed of each target, learned by comparing hold times within one service.
//!
//! Load pattern: servers of one service whose speeds differ by two to three times. A node beside a
//! target knows only for how long requests hold its slots; that this is long or short shows in
//! comparison with the other targets that serve the same kind.

use std::time::Duration;

use rhubarblanding_core::prelude::*;
use slotmap::SlotMap;

use super::index::TargetKey;
use crate::target::{Target, WorkKind};

/// Interval at which speeds are compared: the reports behind them are means over 1.5 s.
const INTERVAL: Duration = Duration::from_millis(250);
/// Least number of targets with a known hold time for a comparison.
const TARGETS_MIN: usize = 2;
/// Bounds of a speed. A node that reports its target as faster than all others gets at most this
/// multiple of a usual share, and one that became slow still gets enough requests to be measured.
const SPEED_MIN: f64 = 0.25;
const SPEED_MAX: f64 = 2.0;
/// Deviations from 1 up to which targets count as equal: means over few requests differ by that.
const EQUAL_WITHIN: f64 = 0.15;
/// Part of a new comparison in the speed that is used: single comparisons scatter.
const NEWEST_WEIGHT: f64 = 0.3;

/// Weight of the newest answer in the mean hold time: it covers some fifty answers.
const MEAN_WEIGHT: f64 = 0.02;

/// Comparison of the targets of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Speeds {
    compared_at: Option<MonoTime>,
    /// Largest capacity of a target, in slots at usual speed.
    capacity_max: f64,
    /// Median hold time of each kind, in seconds.
    medians: HashMap<WorkKind, f64>,
    /// Mean hold time over all answers, in seconds.
    mean_hold: Option<f64>,
}

/// Sum and count of a mean.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    sum: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }

    fn get(self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / f64::from(self.count))
    }
}

impl Speeds {
    /// Records the hold time in an answer.
    pub(super) fn observe(&mut self, hold: Duration) {
        let seconds = hold.as_secs_f64();
        let mean = self.mean_hold.unwrap_or(seconds);
        self.mean_hold = Some(mean + (seconds - mean) * MEAN_WEIGHT);
    }

    /// Returns the service time of a kind, relative to the mean over all requests.
    pub(super) fn relative_service(&self, kind: Option<WorkKind>) -> f64 {
        let median = kind.and_then(|kind| self.medians.get(&kind));
        match (median, self.mean_hold) {
            (Some(median), Some(mean)) if mean > 0.0 => median / mean,
            _ => 1.0,
        }
    }

    /// Compares the targets if the last comparison is old enough.
    pub(super) fn refresh(&mut self, now: MonoTime, targets: &mut SlotMap<TargetKey, Target>) {
        let is_due = self
            .compared_at
            .is_none_or(|compared| now.since(compared) >= INTERVAL);
        if !is_due {
            return;
        }
        self.compared_at = Some(now);
        self.medians = medians(now, targets);
        self.capacity_max = 0.0;
        for target in targets.values_mut() {
            let compared = compare(now, target, &self.medians);
            let speed = target.speed();
            target.set_speed(speed + (compared - speed) * NEWEST_WEIGHT);
            self.capacity_max = self.capacity_max.max(target.capacity());
        }
    }

    /// Returns the capacity of a target as a share of the largest one.
    pub(super) fn capacity_share(&self, target: &Target) -> f64 {
        match self.capacity_max > 0.0 {
            true => target.capacity() / self.capacity_max,
            false => 1.0,
        }
    }
}

/// Returns the median hold time of each kind that enough targets report.
fn medians(now: MonoTime, targets: &SlotMap<TargetKey, Target>) -> HashMap<WorkKind, f64> {
    let mut by_kind: HashMap<WorkKind, Vec<f64>> = HashMap::default();
    for (kind, hold) in targets.values().flat_map(|target| target.holds(now)) {
        by_kind.entry(kind).or_default().push(hold);
    }
    by_kind.retain(|_, holds| holds.len() >= TARGETS_MIN);
    by_kind
        .into_iter()
        .map(|(kind, mut holds)| (kind, median(&mut holds)))
        .collect()
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let (low, high) = ((values.len() - 1) / 2, values.len() / 2);
    (values[low] + values[high]) / 2.0
}

/// Returns the speed of a target relative to the median; 1 if it is not known or about equal.
fn compare(now: MonoTime, target: &Target, medians: &HashMap<WorkKind, f64>) -> f64 {
    let mut ratios = Mean::default();
    for (kind, hold) in target.holds(now) {
        if let Some(median) = medians.get(&kind)
            && hold > 0.0
        {
            ratios.add((median / hold).clamp(SPEED_MIN, SPEED_MAX).ln());
        }
    }
    let speed = ratios.get().map_or(1.0, f64::exp);
    match (speed - 1.0).abs() <= EQUAL_WITHIN {
        true => 1.0,
        false => speed,
    }
}
