//! Processor time and memory that calls cost the nodes on their path.
//!
//! A service that only takes callers in calls a service that only runs them, so that each node has
//! one role. Processor time is fitted against the calls a second of one node.

mod usage;

use std::time::Duration;

use error_stack::{Report, ResultExt};
use rhubarblanding_core::importance::Idempotency;
use rhubarblanding_standins::backend::BackendSettings;
use rhubarblanding_standins::error::StandinError;
use rhubarblanding_standins::load::{Load, LoadSettings, Phase, Route};
use rhubarblanding_standins::process::{
    Cluster, ClusterSettings, Programs, ServiceSettings, TicketFile, TicketKind,
};
use serde::Serialize;
use strum::Display;

use self::usage::Usage;
use crate::output::Row;
use crate::preset::Preset;
use crate::slopes::fit::{Line, Measured};
use crate::system::submit;

/// Service whose nodes take callers in.
const ENTRY: &str = "recepcion";
/// Service whose nodes run the calls.
const TARGET: &str = "turnos";
/// Hosts of each service.
const HOSTS: usize = 3;
/// Slots of each backend server.
const SLOTS: u32 = 64;
/// Arrivals in a second of all callers together, one after the other.
const RATES: [f64; 4] = [100.0, 300.0, 600.0, 900.0];
/// Length of each load.
const LOAD_TIME: Duration = Duration::from_secs(5);
/// Time for all processes to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time for which calls must succeed before the measurement.
const STEADY: Duration = Duration::from_secs(2);

/// Part that a node has in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// It takes the caller's request.
    Entry,
    /// It stands beside the backend server.
    Target,
}

/// Cost of one kind of call to nodes of one role.
#[derive(Clone, Debug, Serialize)]
pub struct CostRow {
    /// Kind of call.
    pub kind: &'static str,
    /// Part of the node.
    pub role: Role,
    /// Processor time of one call in microseconds, from the slope.
    pub call_us: f64,
    /// Processor time without calls, in percent of a core, from the intercept.
    pub idle_core_percent: f64,
    /// Greatest residual in percent of a core.
    pub residual_core_percent: f64,
    /// Resident memory of the largest node after the loads, in megabytes.
    pub resident_mb: f64,
    /// Calls that were not completed.
    pub failed: u64,
}

impl Row for CostRow {
    const HEADINGS: &'static [&'static str] = &[
        "kind",
        "role",
        "us a call",
        "idle core %",
        "residual core %",
        "resident MB",
        "failed",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.kind.to_owned(),
            self.role.to_string(),
            format!("{:.0}", self.call_us),
            format!("{:.2}", self.idle_core_percent),
            format!("{:.2}", self.residual_core_percent),
            format!("{:.1}", self.resident_mb),
            self.failed.to_string(),
        ]
    }
}

/// A kind of call to measure.
struct Call {
    name: &'static str,
    load: &'static str,
}

const CALLS: [Call; 2] = [
    Call {
        name: "idempotent",
        load: "read=GET,turnos,/stock,1,1",
    },
    Call {
        name: "keyed",
        load: "write=POST,turnos,/book,1,1",
    },
];

/// Measures each kind of call at several rates.
///
/// # Errors
///
/// Fails if the processes cannot be run or their usage cannot be read.
pub async fn run(preset: Preset, seed: u64) -> Result<Vec<CostRow>, Report<StandinError>> {
    let cluster = start(preset, seed).await?;
    let mut rows = Vec::new();
    for call in &CALLS {
        rows.extend(measure(&cluster, call, seed).await?);
    }
    Ok(rows)
}

fn service(name: &str, seed: u64) -> Result<ServiceSettings, Report<StandinError>> {
    Ok(ServiceSettings {
        name: name.try_into().change_context(StandinError::Settings)?,
        hosts: HOSTS,
        backend: BackendSettings {
            slots: SLOTS,
            seed,
            ..BackendSettings::default()
        },
    })
}

fn kinds() -> Vec<TicketKind> {
    let kind = |name: &str, method: &str, idempotency| TicketKind {
        name: name.to_owned(),
        method: method.to_owned(),
        idempotency,
        ..TicketKind::default()
    };
    vec![
        kind("write", "POST", Idempotency::NonIdempotent),
        kind("read", "GET", Idempotency::Idempotent),
    ]
}

async fn start(preset: Preset, seed: u64) -> Result<Cluster, Report<StandinError>> {
    let zones = preset.zones().iter().map(|zone| (*zone).try_into());
    let cfg = ClusterSettings {
        services: vec![service(ENTRY, seed)?, service(TARGET, seed)?],
        zones: zones
            .collect::<Result<_, _>>()
            .change_context(StandinError::Settings)?,
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(&Programs::find()?, &cfg)?;
    cluster.wait_ready(READY_LIMIT).await?;
    let ticket = TicketFile {
        ticket: 1,
        ..TicketFile::default()
    }
    .with_service(ENTRY, SLOTS, kinds())
    .with_service(TARGET, SLOTS, kinds());
    submit(&cluster, &ticket).await?;
    cluster.wait_serving("/probe", READY_LIMIT).await?;
    cluster.wait_steady("/probe", STEADY, READY_LIMIT).await?;
    Ok(cluster)
}

/// Processor time of the nodes of one role at each rate.
struct Points {
    role: Role,
    service: &'static str,
    points: Vec<Measured>,
    resident_mb: f64,
}

impl Points {
    fn new(role: Role, service: &'static str) -> Self {
        Self {
            role,
            service,
            points: Vec::new(),
            resident_mb: 0.0,
        }
    }

    fn row(&self, kind: &'static str, failed: u64) -> Result<CostRow, Report<StandinError>> {
        let line = Line::fit(&self.points)
            .ok_or_else(|| Report::new(StandinError::Settings).attach("too few rates"))?;
        let greatest = |most: f64, residual: &f64| most.max(residual.abs());
        Ok(CostRow {
            kind,
            role: self.role,
            call_us: line.slope * 1_000_000.0,
            idle_core_percent: line.intercept * 100.0,
            residual_core_percent: line.residuals.iter().fold(0.0, greatest) * 100.0,
            resident_mb: self.resident_mb,
            failed,
        })
    }
}

async fn measure(
    cluster: &Cluster,
    call: &Call,
    seed: u64,
) -> Result<Vec<CostRow>, Report<StandinError>> {
    let mut roles = [
        Points::new(Role::Entry, ENTRY),
        Points::new(Role::Target, TARGET),
    ];
    let mut failed = 0;
    for rate in RATES {
        let before = [usage(cluster, ENTRY)?, usage(cluster, TARGET)?];
        let report = Load::run(load(cluster, call, rate, seed)?).await?;
        failed += report.outcomes.len() as u64 - report.completed();
        let calls = report.outcomes.len() as f64 / LOAD_TIME.as_secs_f64() / HOSTS as f64;
        for (points, before) in roles.iter_mut().zip(before) {
            let after = usage(cluster, points.service)?;
            let busy = after.since(&before) / LOAD_TIME.as_secs_f64() / HOSTS as f64;
            points.points.push(Measured { x: calls, y: busy });
            points.resident_mb = after.resident_mb();
        }
    }
    roles
        .iter()
        .map(|role| role.row(call.name, failed))
        .collect()
}

fn usage(cluster: &Cluster, service: &str) -> Result<Usage, Report<StandinError>> {
    let hosts = cluster.hosts_of(service);
    let nodes = hosts.iter().filter_map(|host| host.node.as_ref());
    Usage::read(nodes.map(|node| node.id()))
}

fn load(
    cluster: &Cluster,
    call: &Call,
    rate: f64,
    seed: u64,
) -> Result<LoadSettings, Report<StandinError>> {
    let hosts = cluster.hosts_of(ENTRY);
    let entries = hosts.iter().filter_map(|host| host.cfg.node);
    Ok(LoadSettings {
        seed,
        name: format!("{}-{rate}", call.name),
        route: Route::Nodes(entries.map(|node| node.caller).collect()),
        kinds: vec![call.load.parse()?],
        phases: vec![Phase {
            rate,
            duration: LOAD_TIME,
        }],
        ..LoadSettings::default()
    })
}
