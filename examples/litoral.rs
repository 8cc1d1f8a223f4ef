//! Runs a whole system in one process: the key-value service, nodes, backend servers and callers.
//!
//! Three services in four availability zones serve a steady load, a surge of five times that load
//! and the steady load again. The tables show what was completed and what was refused, and why.
//!
//! ```text
//! cargo run --release --example litoral
//! ```

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use rand::Rng;
use rhubarblanding::core::prelude::*;
use rhubarblanding::node::prelude::*;
use rhubarblanding::node::settings::{ListenAddresses, LogFormat};
use rhubarblanding_standins::backend::{Backend, BackendSettings, CallPlan, CallSettings};
use rhubarblanding_standins::load::{
    Load, LoadKind, LoadSettings, Phase, Report, RetryMode, Route, quantile_ms,
};
use rhubarblanding_standins::process::{
    Operator, Submission, TicketFile, TicketKind, free_addresses,
};
use rhubarblanding_standins::store::StoreServer;

/// Availability zones.
const ZONES: [&str; 4] = ["ros", "stafe", "pna", "ctes"];
/// Hosts of each service.
const HOSTS: usize = 4;
/// Slots of each backend server.
const SLOTS: u32 = 6;
/// Mean time that a backend server works on a request, apart from its downstream calls.
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Arrivals in a second before and after the surge.
const STEADY_RATE: f64 = 400.0;
/// Arrivals in a second during the surge.
const SURGE_RATE: f64 = 2_000.0;
/// Length of each of the three phases.
const PHASE: Duration = Duration::from_secs(4);
/// Length of one line of the second table.
const INTERVAL: Duration = Duration::from_secs(1);
/// Seed of the load.
const SEED: u64 = 1;
/// Longest wait for the system to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

type Outcome<T> = Result<T, Box<dyn Error>>;

/// A service of the example and the calls that its backend servers make.
struct ServicePlan {
    name: &'static str,
    calls: &'static [&'static str],
}

const SERVICES: [ServicePlan; 3] = [
    ServicePlan {
        name: "recepcion",
        calls: &["GET egresos:/slots", "* turnos:/loans"],
    },
    ServicePlan {
        name: "turnos",
        calls: &[],
    },
    ServicePlan {
        name: "egresos",
        calls: &[],
    },
];

/// One host: a node and its backend server.
struct Host {
    node: NodeHandle,
    backend: Backend,
    entry: SocketAddr,
    operator: SocketAddr,
}

/// Everything that runs.
struct System {
    hosts: Vec<Host>,
    store: StoreServer,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start_host(
    plan: &ServicePlan,
    zone: &str,
    store: SocketAddr,
    seeds: Vec<HostId>,
    peer: SocketAddr,
) -> Outcome<Host> {
    let free = free_addresses(4)?;
    let listen = ListenAddresses {
        caller: free[0],
        local: free[1],
        peer,
        operator: free[2],
    };
    let settings = Settings {
        service: plan.name.try_into()?,
        zone: zone.try_into()?,
        listen,
        peer_advertise: None,
        backend: free[3],
        store,
        seeds,
        log_level: log::LevelFilter::Off,
        log_format: LogFormat::Text,
        drain_limit: None,
        statsd: None,
        threads: 1,
    };
    let node = Node::bind(settings, None).await?.start();
    let calls: Result<Vec<CallPlan>, _> = plan.calls.iter().map(|call| call.parse()).collect();
    let backend = Backend::start(BackendSettings {
        listen: free[3],
        slots: SLOTS,
        service_time: SERVICE_TIME,
        calls: CallSettings {
            plan: calls?,
            node: Some(listen.local),
            ..CallSettings::default()
        },
        ..BackendSettings::default()
    })
    .await?;
    Ok(Host {
        node,
        backend,
        entry: listen.caller,
        operator: listen.operator,
    })
}

async fn start_system() -> Outcome<System> {
    let store = StoreServer::start(loopback()).await?;
    let peers = free_addresses(SERVICES.len() * HOSTS)?;
    let seeds: Vec<HostId> = peers.iter().take(2).map(|addr| HostId(*addr)).collect();
    let mut hosts = Vec::new();
    for (i, peer) in peers.iter().enumerate() {
        let plan = &SERVICES[i / HOSTS];
        let zone = ZONES[i % ZONES.len()];
        hosts.push(start_host(plan, zone, store.addr(), seeds.clone(), *peer).await?);
    }
    Ok(System { hosts, store })
}

fn ticket_kind(
    name: &str,
    method: &str,
    path: &str,
    importance: Importance,
    idempotency: Idempotency,
) -> TicketKind {
    TicketKind {
        name: name.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        importance,
        idempotency,
        deadline_ms: 2_000,
        ..TicketKind::default()
    }
}

fn ticket() -> TicketFile {
    use Idempotency::{Idempotent, NonIdempotent};
    use Importance::{Background, Critical, High, Normal};

    let recepcion = vec![
        ticket_kind("discharge", "GET", "/discharge", Critical, Idempotent),
        ticket_kind("reserve", "POST", "/reservations", High, NonIdempotent),
        ticket_kind("stock", "GET", "/stock", Normal, Idempotent),
        ticket_kind("inspection", "GET", "/inspections", Background, Idempotent),
    ];
    let turnos = vec![
        ticket_kind("record", "POST", "/loans", High, NonIdempotent),
        ticket_kind("query", "GET", "/loans", Normal, Idempotent),
    ];
    let egresos = vec![ticket_kind("slots", "GET", "/slots", Normal, Idempotent)];
    TicketFile {
        ticket: 1,
        ..TicketFile::default()
    }
    .with_service("recepcion", SLOTS, recepcion)
    .with_service("turnos", SLOTS, turnos)
    .with_service("egresos", SLOTS, egresos)
}

/// Submits the ticket and waits until every node has it and every service has a home table.
async fn make_ready(system: &System) -> Outcome<()> {
    let operator = Operator::new(system.hosts[0].operator);
    let submission = Submission::new(ticket());
    let answer = operator.submit(&submission).await?;
    println!("ticket 1: {}", answer.text);
    let ready = |host: &Host| {
        let shared = host.node.shared();
        shared.document.version() > DocVersion::default() && shared.once.table_version().is_some()
    };
    let wait = async {
        while !system.hosts.iter().all(ready) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(READY_LIMIT, wait).await?;
    Ok(())
}

fn load_kind(name: &str, method: &str, path: &str, share: f64, weight: f64) -> Outcome<LoadKind> {
    let raw = format!("{name}={method},recepcion,{path},{share},{weight},2000");
    Ok(raw.parse::<LoadKind>()?)
}

fn load(system: &System) -> Outcome<LoadSettings> {
    let phase = |rate| Phase {
        rate,
        duration: PHASE,
    };
    Ok(LoadSettings {
        seed: SEED,
        route: Route::Nodes(system.hosts.iter().map(|host| host.entry).collect()),
        kinds: vec![
            load_kind("discharge", "GET", "/discharge", 1.0, 10.0)?,
            load_kind("reserve", "POST", "/reservations", 2.0, 5.0)?,
            load_kind("stock", "GET", "/stock", 6.0, 1.0)?,
            load_kind("inspection", "GET", "/inspections", 1.0, 0.5)?,
        ],
        phases: vec![phase(STEADY_RATE), phase(SURGE_RATE), phase(STEADY_RATE)],
        tries: 3,
        retry: RetryMode::AtOnce,
        timeout: Duration::from_secs(3),
        interval: INTERVAL,
        ..LoadSettings::default()
    })
}

fn print_kinds(report: &Report) {
    println!("\nkind          offered  completed   share   p50 ms   p99 ms   wrong");
    for kind in &report.kinds {
        println!(
            "{:<12} {:>8} {:>10} {:>6.1}% {:>8.1} {:>8.1} {:>7}",
            kind.name,
            kind.offered,
            kind.completed,
            100.0 * kind.completed_share(),
            quantile_ms(&kind.latency, 0.5),
            quantile_ms(&kind.latency, 0.99),
            kind.wrong_answers,
        );
    }
}

fn print_series(report: &Report) {
    println!("\nsecond   weighted goodput");
    let per_phase = PHASE.as_secs() as usize;
    for (second, goodput) in report.series.iter().enumerate() {
        let note = match second / per_phase {
            1 => "  surge",
            _ => "",
        };
        println!("{:>6} {goodput:>18.0}{note}", second + 1);
    }
}

/// Prints the counters of refusals and retries, summed over all nodes.
fn print_counters(system: &System) {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    for host in &system.hosts {
        for (name, value) in host.node.shared().counters.snapshot() {
            *sums.entry(name).or_default() += value;
        }
    }
    println!("\ncounter                              sum over all nodes");
    for (name, value) in sums {
        let wanted = name.starts_with("refused.") || name.starts_with("retry.");
        if wanted && value > 0 {
            println!("{name:<36} {value:>10}");
        }
    }
}

/// Number of idempotency keys that ran more than once at the backend servers of one service.
fn doubled_keys(system: &System) -> usize {
    let mut runs: BTreeMap<(String, String), u64> = BTreeMap::new();
    for host in &system.hosts {
        let service = host.node.shared().settings.service.to_string();
        for run in host.backend.runs() {
            if let Some(key) = run.idempotency_key {
                *runs.entry((service.clone(), key)).or_default() += u64::from(run.runs);
            }
        }
    }
    runs.values().filter(|count| **count > 1).count()
}

async fn run() -> Outcome<bool> {
    let system = start_system().await?;
    make_ready(&system).await?;
    // Callers on many hosts do not start in step.
    let pause = rand::rng().random_range(0..100);
    tokio::time::sleep(Duration::from_millis(pause)).await;
    let report = Load::run(load(&system)?).await?;
    print_kinds(&report);
    print_series(&report);
    print_counters(&system);
    let doubled = doubled_keys(&system);
    println!("\nidempotency keys that ran more than once: {doubled}");
    println!(
        "answers that were not whole or not the caller's own: {}",
        report.wrong_answers()
    );
    println!("store calls: {:?}", system.store.calls());
    let stops = system.hosts.into_iter().map(|host| async {
        host.node.stop().await;
        host.backend.stop().await;
    });
    let stops: Vec<_> = stops.map(tokio::spawn).collect();
    for stop in stops {
        stop.await?;
    }
    Ok(doubled == 0 && report.wrong_answers() == 0)
}

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
