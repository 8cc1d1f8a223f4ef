//! Clusters, loads and checks that the tests share.

use std::time::Duration;

use rhubarblanding_core::collections::HashMap;
use rhubarblanding_core::importance::{Idempotency, Importance};
use rhubarblanding_standins::backend::{BackendSettings, CallSettings, Run};
use rhubarblanding_standins::load::{Load, LoadSettings, Outcome, Phase, Report, RetryMode, Route};
use rhubarblanding_standins::process::{
    Cluster, ClusterPlan, ClusterSettings, Programs, ServiceSettings, Submission, TicketFile,
    TicketKind, wait_until,
};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Seed of every load and service time.
pub const SEED: u64 = 20_261_203;
/// Time for processes to be ready.
pub const READY: Duration = Duration::from_secs(20);

/// Time for which writes must succeed before a test begins.
const STEADY: Duration = Duration::from_secs(2);

/// Clusters that run at a time. Each takes some tenth of eight processors.
static CLUSTERS: Semaphore = Semaphore::const_new(3);

/// A running cluster and the permission to run it.
pub struct Bench {
    pub cluster: Cluster,
    _permit: SemaphorePermit<'static>,
}

/// Runs an asynchronous test body on several threads.
pub fn block_on<F: Future<Output = ()>>(body: F) {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(4).enable_all();
    builder.build().unwrap().block_on(body);
}

/// A service of two hosts whose backend servers make the given downstream calls.
pub fn service(name: &str, calls: &[&str]) -> ServiceSettings {
    ServiceSettings {
        name: name.try_into().unwrap(),
        hosts: 2,
        backend: BackendSettings {
            slots: 16,
            seed: SEED,
            calls: CallSettings {
                plan: calls.iter().map(|call| call.parse().unwrap()).collect(),
                ..CallSettings::default()
            },
            ..BackendSettings::default()
        },
    }
}

/// Two services of two targets each; the first calls the second with its own method.
pub fn two_services() -> Vec<ServiceSettings> {
    vec![
        service("turnos", &["* egresos:/record"]),
        service("egresos", &[]),
    ]
}

pub fn settings(services: Vec<ServiceSettings>) -> ClusterSettings {
    ClusterSettings {
        services,
        zones: vec!["ros".try_into().unwrap(), "pna".try_into().unwrap()],
        ..ClusterSettings::default()
    }
}

/// Kinds of every service: writes are non-idempotent, archives have a long deadline.
pub fn kinds() -> Vec<TicketKind> {
    let kind = |name: &str, method: &str, path: &str| TicketKind {
        name: name.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        ..TicketKind::default()
    };
    vec![
        TicketKind {
            deadline_ms: 60_000,
            ..kind("archive", "GET", "/archive")
        },
        TicketKind {
            importance: Importance::Critical,
            ..kind("urgent", "GET", "/urgent")
        },
        TicketKind {
            idempotency: Idempotency::NonIdempotent,
            importance: Importance::High,
            ..kind("write", "POST", "/**")
        },
        kind("read", "GET", "/**"),
    ]
}

/// Ticket with the same kinds for every named service.
pub fn ticket<'a>(number: u64, services: impl IntoIterator<Item = &'a str>) -> TicketFile {
    let ticket = TicketFile {
        ticket: number,
        ..TicketFile::default()
    };
    services.into_iter().fold(ticket, |ticket, name| {
        ticket.with_service(name, 16, kinds())
    })
}

/// Starts a cluster, submits ticket 1 and waits until every node serves every service.
pub async fn start(services: Vec<ServiceSettings>) -> Bench {
    start_plan(ClusterPlan::new(&settings(services)).unwrap()).await
}

pub async fn start_plan(plan: ClusterPlan) -> Bench {
    let permit = CLUSTERS.acquire().await.unwrap();
    let cluster = Cluster::start_plan(&Programs::find().unwrap(), plan).unwrap();
    cluster.wait_ready(READY).await.unwrap();
    let names: Vec<String> = cluster
        .hosts
        .iter()
        .map(|host| host.cfg.service.to_string())
        .collect();
    let submission = Submission::new(ticket(1, names.iter().map(String::as_str)));
    let operator = cluster.hosts[0].operator().unwrap();
    wait_until(READY, "ticket is accepted", async || {
        let answer = operator.submit(&submission).await;
        answer.is_ok_and(|answer| answer.status == http::StatusCode::OK)
    })
    .await
    .unwrap();
    cluster.wait_serving("/probe", READY).await.unwrap();
    cluster.wait_steady("/probe", STEADY, READY).await.unwrap();
    for host in &cluster.hosts {
        wait_targets(&cluster, &host.operator().unwrap()).await;
    }
    Bench {
        cluster,
        _permit: permit,
    }
}

/// Waits until the node knows as many targets of its own service as there are.
async fn wait_targets(cluster: &Cluster, operator: &rhubarblanding_standins::process::Operator) {
    wait_until(READY, "node knows the targets", async || {
        let Ok(status) = operator.status().await else {
            return false;
        };
        let service = status["service"].as_str().unwrap_or_default().to_owned();
        let targets = status["targets"].as_array().cloned().unwrap_or_default();
        let serving = targets
            .iter()
            .filter(|target| target["service"] == service.as_str() && target["state"] == "serving");
        serving.count() >= cluster.hosts_of(&service).len()
    })
    .await
    .unwrap();
}

/// Load through every node; kinds read `name=METHOD,service,/path,share,weight[,deadline_ms]`.
pub fn load(bench: &Bench, kinds: &[&str], rate: f64, seconds: f64) -> LoadSettings {
    LoadSettings {
        seed: SEED,
        route: Route::Nodes(bench.cluster.entries()),
        kinds: kinds.iter().map(|kind| kind.parse().unwrap()).collect(),
        phases: vec![Phase {
            rate,
            duration: Duration::from_secs_f64(seconds),
        }],
        retry: RetryMode::AfterAdvice,
        ..LoadSettings::default()
    }
}

pub async fn run(cfg: LoadSettings) -> Report {
    Load::run(cfg).await.unwrap()
}

/// Requests that were not completed, with the reasons of their attempts.
pub fn not_completed(report: &Report) -> Vec<String> {
    let failed = report
        .outcomes
        .iter()
        .filter(|outcome| !outcome.is_completed());
    failed.map(reasons).collect()
}

fn reasons(outcome: &Outcome) -> String {
    let attempts = outcome.attempts.iter();
    let reasons: Vec<String> = attempts.map(|attempt| attempt.ending.reason()).collect();
    format!("{:?} {}", outcome.arrived, reasons.join(","))
}

/// Runs of each idempotency key over all backend servers of `service`.
pub async fn runs_by_key(bench: &Bench, service: &str) -> HashMap<String, u32> {
    let mut by_key = HashMap::default();
    let runs = bench.cluster.runs_of(service).await.unwrap();
    let of_load = runs
        .into_iter()
        .filter(|run| run.request_id.starts_with("load-"));
    for run in of_load {
        if let Some(key) = run.idempotency_key {
            *by_key.entry(key).or_default() += run.runs;
        }
    }
    by_key
}

/// Keys that ran more than once.
pub fn doubled(by_key: &HashMap<String, u32>) -> Vec<&String> {
    let doubled = by_key.iter().filter(|(_, runs)| **runs > 1);
    doubled.map(|(key, _)| key).collect()
}

/// Requests of which every attempt was refused as not run though they ran.
pub fn untruthful(report: &Report, runs: &[Run]) -> Vec<String> {
    let began = runs.iter().filter(|run| run.runs > 0);
    let ran: Vec<&str> = began.map(|run| run.request_id.as_str()).collect();
    let refused = report
        .outcomes
        .iter()
        .filter(|outcome| outcome.is_not_run());
    let ids = refused.map(|outcome| outcome.request_id.clone());
    ids.filter(|id| ran.contains(&id.as_str())).collect()
}
