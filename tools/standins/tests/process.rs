//! Child processes, and a cluster without nodes.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

use std::os::unix::process::ExitStatusExt;
use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_standins::backend::{BackendSettings, CallSettings, ControlChange};
use rhubarblanding_standins::command;
use rhubarblanding_standins::load::{Load, LoadSettings, Phase, Route};
use rhubarblanding_standins::process::{
    ChildProcess, Cluster, ClusterSettings, Programs, ServiceSettings, Signal,
};

const LIMIT: Duration = Duration::from_secs(10);

fn programs() -> Programs {
    let standins = env!("CARGO_BIN_EXE_rhubarblanding_standins").into();
    Programs {
        node: "no-node".into(),
        standins,
        logs: None,
    }
}

fn service(name: &str, call: Option<&str>) -> ServiceSettings {
    ServiceSettings {
        name: name.try_into().unwrap(),
        hosts: 2,
        backend: BackendSettings {
            calls: CallSettings {
                plan: call.into_iter().map(|call| call.parse().unwrap()).collect(),
                ..CallSettings::default()
            },
            ..BackendSettings::default()
        },
    }
}

fn two_services() -> ClusterSettings {
    ClusterSettings {
        services: vec![
            service("turnos", Some("POST egresos:/slots")),
            service("egresos", None),
        ],
        zones: vec!["ros".try_into().unwrap()],
        without_nodes: true,
        ..ClusterSettings::default()
    }
}

#[test]
fn flags_of_a_backend_server_are_read_back() {
    let cfg = BackendSettings {
        announced_address: Some("127.0.0.1:8".parse().unwrap()),
        slots: 7,
        announced_slots: Some(70),
        shed_above: Some(9),
        service_time: Duration::from_micros(1_500),
        cold_start: Duration::from_secs(2),
        cold_factor: 3.5,
        check_deadline: false,
        seed: 42,
        calls: CallSettings {
            plan: vec![
                "POST egresos:/slots".parse().unwrap(),
                "* a:/b".parse().unwrap(),
            ],
            node: Some("127.0.0.1:9".parse().unwrap()),
            direct: vec!["egresos=127.0.0.1:10".parse().unwrap()],
            retries: 2,
            retry_budget_percent: Some(10),
            timeout: Duration::from_millis(750),
        },
        ..BackendSettings::default()
    };
    let args = command::backend::args(&cfg);
    let matches = command::backend::command().get_matches_from(args);
    assert_that!(command::backend::settings(&matches), eq(&cfg));
}

#[tokio::test]
async fn a_cluster_of_processes_answers_every_byte() {
    let cluster = Cluster::start(&programs(), &two_services()).unwrap();
    cluster.wait_ready(LIMIT).await.unwrap();
    let report = Load::run(LoadSettings {
        seed: 5,
        route: Route::Direct(cluster.backends_of("turnos")),
        kinds: vec!["book=POST,turnos,/book,1,1".parse().unwrap()],
        phases: vec![Phase {
            rate: 100.0,
            duration: Duration::from_millis(500),
        }],
        ..LoadSettings::default()
    })
    .await
    .unwrap();
    let offered = report.outcomes.len();
    assert_that!(report.completed(), eq(offered as u64));
    let runs = cluster.runs_of("egresos").await.unwrap();
    assert_that!(runs.len(), eq(offered));
    assert_that!(
        runs.iter().all(|run| run.idempotency_key.is_some()),
        eq(true)
    );
}

#[tokio::test]
async fn signals_reach_the_process() {
    let args = command::backend::args(&BackendSettings::default());
    let mut child = ChildProcess::start_standin(&programs(), "backend", &args).unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    child.signal(Signal::Stop).unwrap();
    child.signal(Signal::Continue).unwrap();
    assert_that!(child.ended().unwrap(), none());
    child.signal(Signal::Terminate).unwrap();
    assert_that!(child.wait(LIMIT).await.unwrap().code(), some(eq(0)));
    let mut second = ChildProcess::start_standin(&programs(), "backend", &args).unwrap();
    second.signal(Signal::Kill).unwrap();
    assert_that!(second.wait(LIMIT).await.unwrap().signal(), some(eq(9)));
}

#[tokio::test]
async fn a_backend_server_process_is_controlled() {
    let cluster = Cluster::start(&programs(), &two_services()).unwrap();
    cluster.wait_ready(LIMIT).await.unwrap();
    let change = ControlChange {
        slots: Some(1),
        ..ControlChange::default()
    };
    let control = cluster.hosts[0].backend().change(change).await.unwrap();
    assert_that!(control.slots, eq(1));
}
