//! Time from the end of a trigger until goodput is what it was before.

mod trigger;

use std::time::Duration;

use error_stack::Report;
use rhubarblanding_standins::error::StandinError;
use rhubarblanding_standins::load::{Load, Report as LoadReport};
use serde::Serialize;

pub use trigger::{BEFORE, LASTS, Trigger};

use crate::figures::{self, KindFigures, Window, WindowFigures};
use crate::output::{Row, decimal, top_counts};
use crate::preset::Preset;
use crate::system::{Deployment, System};

/// Ordinary load as a share of the capacity of the bottleneck.
const ORDINARY_LOAD: f64 = 0.7;
/// Share of the goodput before that counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Length of one interval in which goodput is judged.
const INTERVAL: Duration = Duration::from_millis(250);
/// Time at the start that does not count as before the trigger.
const WARM_UP: Duration = Duration::from_secs(2);
/// Number of failure reasons in the table.
const REASONS_SHOWN: usize = 3;

/// Results of one system and one trigger.
#[derive(Clone, Debug, Serialize)]
pub struct RecoveryRow {
    /// System.
    pub system: System,
    /// Trigger.
    pub trigger: Trigger,
    /// Share of the offered worth that was completed before the trigger.
    pub before_percent: f64,
    /// Share of the offered worth that was completed during the trigger.
    pub during_percent: f64,
    /// Share of the offered worth that was completed from the end of the trigger on.
    pub after_percent: f64,
    /// By kind, from the end of the trigger on.
    pub kinds_after: Vec<KindFigures>,
    /// Time until goodput stays at 95 % of that before; none if it does not within the run.
    pub recovery_s: Option<f64>,
    /// 99th percentile of the latency of requests completed after the trigger.
    pub p99_after_ms: f64,
    /// Answers with a wrong body.
    pub wrong_answers: u64,
    /// Failed attempts after the trigger by reason.
    pub failures_after: rhubarblanding_core::collections::HashMap<String, u64>,
}

impl Row for RecoveryRow {
    const HEADINGS: &'static [&'static str] = &[
        "system",
        "trigger",
        "before %",
        "during %",
        "after %",
        "after by kind %",
        "recovery s",
        "p99 after ms",
        "wrong",
        "failed attempts after",
    ];

    fn cells(&self) -> Vec<String> {
        let kinds = self.kinds_after.iter();
        let kinds = kinds.map(|kind| decimal(kind.completed_percent()));
        let recovery = self.recovery_s.map(|seconds| format!("{seconds:.2}"));
        vec![
            self.system.to_string(),
            self.trigger.to_string(),
            decimal(self.before_percent),
            decimal(self.during_percent),
            decimal(self.after_percent),
            kinds.collect::<Vec<_>>().join("/"),
            recovery.unwrap_or_else(|| format!("> {}", self.trigger.watched().as_secs())),
            decimal(self.p99_after_ms),
            self.wrong_answers.to_string(),
            top_counts(&self.failures_after, REASONS_SHOWN),
        ]
    }
}

/// Measures the recovery of each system from `trigger`.
///
/// # Errors
///
/// Fails if the processes of a system cannot be run.
pub async fn run(
    systems: &[System],
    trigger: Trigger,
    preset: Preset,
    seed: u64,
) -> Result<Vec<RecoveryRow>, Report<StandinError>> {
    let mut rows = Vec::new();
    for system in systems {
        rows.push(measure(*system, trigger, preset, seed).await?);
    }
    Ok(rows)
}

async fn measure(
    system: System,
    trigger: Trigger,
    preset: Preset,
    seed: u64,
) -> Result<RecoveryRow, Report<StandinError>> {
    let mut deployment = Deployment::start(system, preset, seed).await?;
    trigger.prepare(&deployment).await?;
    let rate = ORDINARY_LOAD * preset.bottleneck().capacity();
    let load = deployment.load("recovery", trigger.phases(rate))?;
    let running = tokio::spawn(Load::run(load));
    trigger.act(&mut deployment).await?;
    let report = running
        .await
        .map_err(|_| Report::new(StandinError::Process))??;
    Ok(row(system, trigger, &report))
}

fn row(system: System, trigger: Trigger, report: &LoadReport) -> RecoveryRow {
    let over = trigger.over_at();
    let figures = |from, to| {
        let window = Window { from, to };
        WindowFigures::new(&report.kinds, &report.outcomes, window)
    };
    let share = |figures: &WindowFigures| {
        figures::percent(figures.completed_worth(), figures.offered_worth())
    };
    let before = figures(WARM_UP, BEFORE);
    let during = figures(BEFORE, over);
    let after = figures(over, over + trigger.watched());
    let intervals = (trigger.watched().as_millis() / INTERVAL.as_millis()) as u32;
    let series = (0..intervals).map(|index| {
        let from = over + INTERVAL * index;
        share(&figures(from, from + INTERVAL))
    });
    RecoveryRow {
        system,
        trigger,
        before_percent: share(&before),
        during_percent: share(&during),
        after_percent: share(&after),
        kinds_after: after.kinds.clone(),
        recovery_s: recovery(&series.collect::<Vec<_>>(), share(&before)),
        p99_after_ms: after.latency_ms(0.99),
        wrong_answers: before.wrong_answers + during.wrong_answers + after.wrong_answers,
        failures_after: after.failures,
    }
}

/// Time until all further intervals of `series` reach the share of `before` that counts.
pub fn recovery(series: &[f64], before: f64) -> Option<f64> {
    let bound = RECOVERED_SHARE * before;
    let last_below = series.iter().rposition(|share| *share < bound);
    let first_good = last_below.map_or(0, |index| index + 1);
    (first_good < series.len()).then(|| INTERVAL.as_secs_f64() * first_good as f64)
}
