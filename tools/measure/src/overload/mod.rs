//! Goodput at offered loads below and above the capacity of the bottleneck.

mod row;

use std::time::Duration;

use error_stack::Report;
use rhubarblanding_core::collections::HashSet;
use rhubarblanding_standins::backend::{CounterValues, Run};
use rhubarblanding_standins::error::StandinError;
use rhubarblanding_standins::load::{Load, Phase, Report as LoadReport};

pub use row::{LevelRow, OfferedLoad};

use crate::figures::{self, Window, WindowFigures};
use crate::preset::Preset;
use crate::system::{Deployment, System};

/// Time of each level that is not counted.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Time of each level that is counted.
const COUNTED: Duration = Duration::from_millis(3_000);
/// Time between two levels, in which what is left of the first ends.
const PAUSE: Duration = Duration::from_millis(300);

/// What one level gave.
#[derive(Debug)]
struct Level {
    system: System,
    factor: f64,
    figures: WindowFigures,
    work: figures::Work,
    bottom: BottomFigures,
}

/// Load that reached the last service of the chain.
#[derive(Clone, Copy, Debug, Default)]
struct BottomFigures {
    arrived: u64,
    runs: u64,
    distinct: u64,
    offered: u64,
}

/// Measures each system at each offered load.
///
/// # Errors
///
/// Fails if the processes of a system cannot be run.
pub async fn run(
    systems: &[System],
    preset: Preset,
    seed: u64,
) -> Result<Vec<LevelRow>, Report<StandinError>> {
    let mut levels = Vec::new();
    for system in systems {
        levels.extend(measure(*system, preset, seed).await?);
    }
    // A system that sheds too much has a low peak of its own, so that all share the greatest.
    let peak = levels.iter().map(completions).fold(0.0, f64::max);
    Ok(levels.iter().map(|level| row(level, peak)).collect())
}

async fn measure(
    system: System,
    preset: Preset,
    seed: u64,
) -> Result<Vec<Level>, Report<StandinError>> {
    let deployment = Deployment::start(system, preset, seed).await?;
    let mut levels = Vec::new();
    for load in OfferedLoad::ALL {
        levels.push(measure_level(&deployment, load.factor()).await?);
        tokio::time::sleep(PAUSE).await;
    }
    Ok(levels)
}

async fn measure_level(
    deployment: &Deployment,
    factor: f64,
) -> Result<Level, Report<StandinError>> {
    let name = format!("load{:.0}", factor * 100.0);
    let phase = Phase {
        rate: factor * deployment.preset.bottleneck().capacity(),
        duration: WARM_UP + COUNTED,
    };
    let before = bottom_counters(deployment).await?;
    let load = deployment.load(&name, vec![phase])?;
    let prefix = format!("{}-", load.name);
    let report = Load::run(load).await?;
    let after = bottom_counters(deployment).await?;
    let mut runs = Vec::new();
    for tier in deployment.preset.tiers() {
        runs.extend(deployment.cluster.runs_of(tier.service).await?);
    }
    let bottom_runs = deployment
        .cluster
        .runs_of(deployment.preset.bottleneck().service)
        .await?;
    let mut bottom = bottom(&bottom_runs, &prefix, &report);
    bottom.arrived = after.arrived - before.arrived;
    Ok(Level {
        system: deployment.system,
        factor,
        figures: WindowFigures::new(&report.kinds, &report.outcomes, counted()),
        work: figures::work(&runs, &report.outcomes, &prefix),
        bottom,
    })
}

fn counted() -> Window {
    Window {
        from: WARM_UP,
        to: WARM_UP + COUNTED,
    }
}

async fn bottom_counters(deployment: &Deployment) -> Result<CounterValues, Report<StandinError>> {
    let mut total = CounterValues::default();
    let service = deployment.preset.bottleneck().service;
    for host in deployment.cluster.hosts_of(service) {
        total.arrived += host.backend().counters().await?.arrived;
    }
    Ok(total)
}

fn bottom(runs: &[Run], prefix: &str, report: &LoadReport) -> BottomFigures {
    let of_load = || {
        let began = runs.iter().filter(|run| run.runs > 0);
        began.filter(|run| run.request_id.starts_with(prefix))
    };
    let distinct: HashSet<&str> = of_load().map(|run| run.request_id.as_str()).collect();
    BottomFigures {
        arrived: 0,
        runs: of_load().map(|run| u64::from(run.runs)).sum(),
        distinct: distinct.len() as u64,
        offered: report.outcomes.len() as u64,
    }
}

fn completions(level: &Level) -> f64 {
    level.figures.completed() as f64 / level.figures.seconds
}

fn row(level: &Level, peak: f64) -> LevelRow {
    let figures = &level.figures;
    let attainable = figures.attainable_worth(peak * figures.seconds);
    let bottom = level.bottom;
    LevelRow {
        system: level.system,
        factor: level.factor,
        offered_per_s: figures.offered() as f64 / figures.seconds,
        completed_per_s: completions(level),
        share_of_peak_percent: figures::percent(completions(level), peak),
        weighted_per_s: figures.completed_worth() / figures.seconds,
        weighted_of_attainable_percent: figures::percent(figures.completed_worth(), attainable),
        kinds: figures.kinds.clone(),
        wasted_percent: level.work.wasted_percent(),
        bottom_arrivals_per_request: bottom.arrived as f64 / bottom.offered.max(1) as f64,
        bottom_runs_per_call: bottom.runs as f64 / bottom.distinct.max(1) as f64,
        p50_ms: figures.latency_ms(0.5),
        p99_ms: figures.latency_ms(0.99),
        wrong_answers: figures.wrong_answers,
        failures: figures.failures.clone(),
    }
}
