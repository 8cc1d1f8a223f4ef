//! Goodput lost while one target leaves.

use std::time::Duration;

use error_stack::Report;
use rhubarblanding_standins::error::StandinError;
use rhubarblanding_standins::load::{Load, Report as LoadReport};
use rhubarblanding_standins::process::{ChildProcess, Signal};
use serde::Serialize;

use crate::figures::{self, Window, WindowFigures};
use crate::output::{Row, decimal, top_counts};
use crate::preset::Preset;
use crate::system::{Deployment, System};

/// Load as a share of the capacity of the bottleneck.
const LOAD: f64 = 0.7;
/// Time before the target begins to leave.
const BEFORE: Duration = Duration::from_secs(5);
/// Time after the target began to leave.
const AFTER: Duration = Duration::from_secs(8);
/// Time at the start that is not counted.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time after which a leaving target must get no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Time for a process to end.
const EXIT_LIMIT: Duration = Duration::from_secs(15);
/// Number of failure reasons in the table.
const REASONS_SHOWN: usize = 3;

/// Results of one system.
#[derive(Clone, Debug, Serialize)]
pub struct DrainRow {
    /// System.
    pub system: System,
    /// Share of the offered worth that was completed before.
    pub before_percent: f64,
    /// Share of the offered worth that was completed while the target left.
    pub after_percent: f64,
    /// Requests that were not completed while the target left.
    pub lost: u64,
    /// Requests that the leaving backend server began to run more than 3 s after the signal.
    pub late_runs: u64,
    /// Exit code of the process that was told to stop.
    pub exit_code: Option<i32>,
    /// 99th percentile of the latency while the target left.
    pub p99_ms: f64,
    /// Failed attempts while the target left by reason.
    pub failures: rhubarblanding_core::collections::HashMap<String, u64>,
}

impl Row for DrainRow {
    const HEADINGS: &'static [&'static str] = &[
        "system",
        "before %",
        "leaving %",
        "lost",
        "late runs",
        "exit",
        "p99 ms",
        "failed attempts",
    ];

    fn cells(&self) -> Vec<String> {
        let exit = self.exit_code.map(|code| code.to_string());
        vec![
            self.system.to_string(),
            decimal(self.before_percent),
            decimal(self.after_percent),
            self.lost.to_string(),
            self.late_runs.to_string(),
            exit.unwrap_or_else(|| "none".to_owned()),
            decimal(self.p99_ms),
            top_counts(&self.failures, REASONS_SHOWN),
        ]
    }
}

/// Measures each system.
///
/// # Errors
///
/// Fails if the processes of a system cannot be run.
pub async fn run(
    systems: &[System],
    preset: Preset,
    seed: u64,
) -> Result<Vec<DrainRow>, Report<StandinError>> {
    let mut rows = Vec::new();
    for system in systems {
        rows.push(measure(*system, preset, seed).await?);
    }
    Ok(rows)
}

/// What became of the target that left.
#[derive(Clone, Copy, Debug)]
struct Left {
    late_runs: u64,
    exit_code: Option<i32>,
}

async fn measure(
    system: System,
    preset: Preset,
    seed: u64,
) -> Result<DrainRow, Report<StandinError>> {
    let mut deployment = Deployment::start(system, preset, seed).await?;
    let rate = LOAD * preset.bottleneck().capacity();
    let phase = rhubarblanding_standins::load::Phase {
        rate,
        duration: BEFORE + AFTER,
    };
    let load = deployment.load("drain", vec![phase])?;
    let running = tokio::spawn(Load::run(load));
    tokio::time::sleep(BEFORE).await;
    let left = leave(&mut deployment).await?;
    let report = running
        .await
        .map_err(|_| Report::new(StandinError::Process))??;
    Ok(row(system, left, &report))
}

/// Tells one target of the middle service to leave and watches it.
async fn leave(deployment: &mut Deployment) -> Result<Left, Report<StandinError>> {
    let service = deployment.preset.tiers()[1].service;
    let hosts = deployment.cluster.hosts.iter_mut();
    let mut of_service = hosts.filter(|host| host.cfg.service.as_str() == service);
    let Some(host) = of_service.next() else {
        return Err(Report::new(StandinError::Settings).attach("no host"));
    };
    let backend = host.backend();
    match &mut host.node {
        Some(node) => {
            node.signal(Signal::Terminate)?;
            tokio::time::sleep(LEAVING_LIMIT).await;
            let started = backend.counters().await?.started;
            let exit_code = exit_code(node).await?;
            let late_runs = backend.counters().await?.started - started;
            Ok(Left {
                late_runs,
                exit_code,
            })
        }
        None => {
            let Some(server) = &mut host.server else {
                return Err(Report::new(StandinError::Settings).attach("no backend server"));
            };
            server.signal(Signal::Terminate)?;
            Ok(Left {
                late_runs: 0,
                exit_code: exit_code(server).await?,
            })
        }
    }
}

async fn exit_code(process: &mut ChildProcess) -> Result<Option<i32>, Report<StandinError>> {
    match process.wait(EXIT_LIMIT).await {
        Ok(status) => Ok(status.code()),
        Err(report) if *report.current_context() == StandinError::Timeout => Ok(None),
        Err(report) => Err(report),
    }
}

fn row(system: System, left: Left, report: &LoadReport) -> DrainRow {
    let figures = |from, to| {
        let window = Window { from, to };
        WindowFigures::new(&report.kinds, &report.outcomes, window)
    };
    let share = |figures: &WindowFigures| {
        figures::percent(figures.completed_worth(), figures.offered_worth())
    };
    let before = figures(WARM_UP, BEFORE);
    let after = figures(BEFORE, BEFORE + AFTER);
    DrainRow {
        system,
        before_percent: share(&before),
        after_percent: share(&after),
        lost: after.offered() - after.completed(),
        late_runs: left.late_runs,
        exit_code: left.exit_code,
        p99_ms: after.latency_ms(0.99),
        failures: after.failures,
    }
}
