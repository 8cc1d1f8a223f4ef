//! Latency that a node adds to a call, against direct calls in the same run.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use hdrhistogram::Histogram;
use rhubarblanding_standins::backend::{BackendSettings, Distribution};
use rhubarblanding_standins::error::StandinError;
use rhubarblanding_standins::load::{Load, LoadSettings, Phase, Route, new_histogram, quantile_ms};
use rhubarblanding_standins::process::{
    Cluster, ClusterSettings, Programs, ServiceSettings, TicketFile, TicketKind,
};
use serde::Serialize;
use strum::Display;

use crate::output::Row;
use crate::preset::Preset;
use crate::system::submit;

/// Service that is called.
const SERVICE: &str = "turnos";
/// Number of hosts.
const HOSTS: u32 = 2;
/// Slots of each backend server.
const SLOTS: u32 = 8;
/// Time of the backend server's own work.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Length of one slice, after which the way is changed.
const SLICE: Duration = Duration::from_millis(750);
/// Number of slices for each way and load.
const SLICES: usize = 12;
/// Arrivals in a second when unloaded.
const UNLOADED_RATE: f64 = 200.0;
/// Load as a share of the capacity when loaded.
const LOADED_SHARE: f64 = 0.7;
/// Time for all processes to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Way of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Way {
    /// From the caller to the backend server.
    Direct,
    /// Through the nodes.
    Nodes,
}

/// Latency of both ways at one load.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyRow {
    /// Load as a share of the capacity, in percent.
    pub load_percent: f64,
    /// Calls measured on each way.
    pub calls: u64,
    /// Median of direct calls.
    pub direct_p50_ms: f64,
    /// 99th percentile of direct calls.
    pub direct_p99_ms: f64,
    /// Median of calls through nodes.
    pub nodes_p50_ms: f64,
    /// 99th percentile of calls through nodes.
    pub nodes_p99_ms: f64,
    /// Difference of the medians.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentiles.
    pub added_p99_ms: f64,
    /// Calls that were not completed.
    pub failed: u64,
}

impl Row for LatencyRow {
    const HEADINGS: &'static [&'static str] = &[
        "load %",
        "calls",
        "direct p50 ms",
        "direct p99 ms",
        "nodes p50 ms",
        "nodes p99 ms",
        "added p50 ms",
        "added p99 ms",
        "failed",
    ];

    fn cells(&self) -> Vec<String> {
        let millis = |value: f64| format!("{value:.3}");
        vec![
            format!("{:.0}", self.load_percent),
            self.calls.to_string(),
            millis(self.direct_p50_ms),
            millis(self.direct_p99_ms),
            millis(self.nodes_p50_ms),
            millis(self.nodes_p99_ms),
            millis(self.added_p50_ms),
            millis(self.added_p99_ms),
            self.failed.to_string(),
        ]
    }
}

/// Latencies of one way.
#[derive(Debug)]
struct Samples {
    latency: Histogram<u64>,
    failed: u64,
}

impl Samples {
    fn new() -> Self {
        Self {
            latency: new_histogram(),
            failed: 0,
        }
    }
}

/// Measures both ways in turn, unloaded and loaded.
///
/// # Errors
///
/// Fails if the processes cannot be run.
pub async fn run(preset: Preset, seed: u64) -> Result<Vec<LatencyRow>, Report<StandinError>> {
    let cluster = start(preset, seed).await?;
    let capacity = f64::from(HOSTS * SLOTS) / SERVICE_TIME.as_secs_f64();
    let mut rows = Vec::new();
    for rate in [UNLOADED_RATE, LOADED_SHARE * capacity] {
        rows.push(measure(&cluster, rate, capacity, seed).await?);
    }
    Ok(rows)
}

async fn start(preset: Preset, seed: u64) -> Result<Cluster, Report<StandinError>> {
    let zone = preset.zones()[0];
    let cfg = ClusterSettings {
        services: vec![ServiceSettings {
            name: SERVICE.try_into().change_context(StandinError::Settings)?,
            hosts: HOSTS as usize,
            backend: BackendSettings {
                slots: SLOTS,
                service_time: SERVICE_TIME,
                distribution: Distribution::Fixed,
                seed,
                ..BackendSettings::default()
            },
        }],
        zones: vec![zone.try_into().change_context(StandinError::Settings)?],
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(&Programs::find()?, &cfg)?;
    cluster.wait_ready(READY_LIMIT).await?;
    let ticket = TicketFile {
        ticket: 1,
        ..TicketFile::default()
    };
    let ticket = ticket.with_service(SERVICE, SLOTS, vec![TicketKind::default()]);
    submit(&cluster, &ticket).await?;
    cluster.wait_serving("/probe", READY_LIMIT).await?;
    Ok(cluster)
}

async fn measure(
    cluster: &Cluster,
    rate: f64,
    capacity: f64,
    seed: u64,
) -> Result<LatencyRow, Report<StandinError>> {
    let mut direct = Samples::new();
    let mut nodes = Samples::new();
    // The first slice of each way opens connections and isn't counted.
    for slice in 0..=SLICES {
        let seed = seed.wrapping_add(slice as u64);
        for (way, samples) in [(Way::Direct, &mut direct), (Way::Nodes, &mut nodes)] {
            let report = Load::run(load(cluster, way, rate, seed)?).await?;
            if slice > 0 {
                samples.failed += report.outcomes.len() as u64 - report.completed();
                // The histograms have the same bounds, so that nothing can be out of range.
                let _ = samples.latency.add(report.latency());
            }
        }
    }
    let p50 = |samples: &Samples| quantile_ms(&samples.latency, 0.5);
    let p99 = |samples: &Samples| quantile_ms(&samples.latency, 0.99);
    Ok(LatencyRow {
        load_percent: 100.0 * rate / capacity,
        calls: nodes.latency.len(),
        direct_p50_ms: p50(&direct),
        direct_p99_ms: p99(&direct),
        nodes_p50_ms: p50(&nodes),
        nodes_p99_ms: p99(&nodes),
        added_p50_ms: p50(&nodes) - p50(&direct),
        added_p99_ms: p99(&nodes) - p99(&direct),
        failed: direct.failed + nodes.failed,
    })
}

fn load(
    cluster: &Cluster,
    way: Way,
    rate: f64,
    seed: u64,
) -> Result<LoadSettings, Report<StandinError>> {
    let entries: Vec<SocketAddr> = match way {
        Way::Direct => cluster.backends_of(SERVICE),
        Way::Nodes => cluster.entries(),
    };
    Ok(LoadSettings {
        seed,
        name: way.to_string(),
        route: match way {
            Way::Direct => Route::Direct(entries),
            Way::Nodes => Route::Nodes(entries),
        },
        kinds: vec![format!("check=GET,{SERVICE},/check,1,1").parse()?],
        phases: vec![Phase {
            rate,
            duration: SLICE,
        }],
        ..LoadSettings::default()
    })
}
