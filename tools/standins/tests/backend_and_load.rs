//! Backend server and caller load in one process.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_standins::backend::{
    Backend, BackendSettings, CallPlan, CallSettings, ControlChange, DirectTarget, Distribution,
};
use rhubarblanding_standins::load::{Arrivals, Load, LoadSettings, Phase, Report, Route};

const SEED: u64 = 11;

async fn backend(cfg: BackendSettings) -> Backend {
    Backend::start(cfg).await.unwrap()
}

fn load(backend: &Backend, kind: &str, rate: f64, millis: u64) -> LoadSettings {
    LoadSettings {
        seed: SEED,
        route: Route::Direct(vec![backend.address()]),
        kinds: vec![kind.parse().unwrap()],
        phases: vec![Phase {
            rate,
            duration: Duration::from_millis(millis),
        }],
        ..LoadSettings::default()
    }
}

async fn report(cfg: LoadSettings) -> Report {
    Load::run(cfg).await.unwrap()
}

#[test]
fn arrivals_follow_from_the_seed() {
    let kinds = [
        "a=GET,s,/a,3,1".parse().unwrap(),
        "b=GET,s,/b,1,1".parse().unwrap(),
    ];
    let phase = Phase {
        rate: 1_000.0,
        duration: Duration::from_secs(10),
    };
    let arrivals = |seed| Arrivals::new(seed, &[phase], &kinds).collect::<Vec<_>>();
    assert_that!(arrivals(SEED), eq(&arrivals(SEED)));
    assert_that!(arrivals(SEED), not(eq(&arrivals(SEED + 1))));
    assert_that!(arrivals(SEED).len(), all![ge(9_600), le(10_400)]);
    let of_first = arrivals(SEED).iter().filter(|a| a.kind == 0).count();
    assert_that!(of_first, all![ge(7_000), le(8_000)]);
}

#[tokio::test]
async fn every_answer_is_checked_and_logged() {
    let backend = backend(BackendSettings::default()).await;
    let cfg = load(
        &backend,
        "book=POST,turnos,/book?bytes=5000,1,2",
        200.0,
        500,
    );
    let report = report(cfg).await;
    assert_that!(report.completed(), eq(report.outcomes.len() as u64));
    assert_that!(report.wrong_answers(), eq(0));
    let runs = backend.runs();
    assert_that!(runs.len(), eq(report.outcomes.len()));
    assert_that!(
        runs,
        each(predicate(|run: &rhubarblanding_standins::backend::Run| {
            run.runs == 1 && run.idempotency_key.is_some()
        }))
    );
    backend.stop().await;
}

#[tokio::test]
async fn requests_above_the_slots_wait() {
    let backend = backend(BackendSettings {
        slots: 1,
        service_time: Duration::from_millis(20),
        distribution: Distribution::Fixed,
        ..BackendSettings::default()
    })
    .await;
    let report = report(load(&backend, "a=GET,s,/a,1,1", 200.0, 300)).await;
    assert_that!(report.kinds[0].p99_ms, gt(500.0));
}

#[tokio::test]
async fn closing_the_connection_cancels_the_work() {
    let backend = backend(BackendSettings {
        service_time: Duration::from_secs(30),
        ..BackendSettings::default()
    })
    .await;
    let mut cfg = load(&backend, "a=GET,s,/a,1,1", 50.0, 100);
    cfg.timeout = Duration::from_millis(50);
    report(cfg).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let counters = backend.counters();
    assert_that!(counters.started, gt(0));
    assert_that!(counters.cancelled, eq(counters.started));
}

#[tokio::test]
async fn a_passed_deadline_prevents_the_start() {
    let backend = backend(BackendSettings {
        slots: 1,
        service_time: Duration::from_millis(50),
        ..BackendSettings::default()
    })
    .await;
    let client = rhubarblanding_standins::http::client();
    let send = || {
        let req = http::Request::get(format!("http://{}/a", backend.address()))
            .header("rhubarblanding-deadline-ms", "20")
            .body(http_body_util::Full::default())
            .unwrap();
        client.request(req)
    };
    let (first, second) = tokio::join!(send(), send());
    let statuses = [
        first.unwrap().status().as_u16(),
        second.unwrap().status().as_u16(),
    ];
    assert_that!(statuses, unordered_elements_are![eq(200), eq(503)]);
    assert_that!(backend.counters().expired, eq(1));
}

#[tokio::test]
async fn downstream_calls_are_made_and_repeated() {
    let bottom = backend(BackendSettings {
        shed_above: Some(0),
        ..BackendSettings::default()
    })
    .await;
    let top = backend(BackendSettings {
        calls: CallSettings {
            plan: vec!["egresos:/slots".parse::<CallPlan>().unwrap()],
            direct: vec![DirectTarget {
                service: "egresos".try_into().unwrap(),
                address: bottom.address(),
            }],
            retries: 2,
            ..CallSettings::default()
        },
        ..BackendSettings::default()
    })
    .await;
    let report = report(load(&top, "a=GET,s,/a,1,1", 100.0, 200)).await;
    assert_that!(report.completed(), eq(0));
    let counters = top.counters();
    assert_that!(counters.call_attempts, eq(3 * counters.calls));
    assert_that!(bottom.counters().shed, eq(counters.call_attempts));
}

#[tokio::test]
async fn an_archive_is_sent_slowly_and_survives_a_stop() {
    let backend = backend(BackendSettings::default()).await;
    let cfg = load(
        &backend,
        "a=GET,s,/archive?bytes=300000&ms=400,1,1",
        40.0,
        100,
    );
    let running = tokio::spawn(Load::run(cfg));
    tokio::time::sleep(Duration::from_millis(200)).await;
    backend.stop().await;
    let report = running.await.unwrap().unwrap();
    assert_that!(report.completed(), eq(report.outcomes.len() as u64));
    assert_that!(report.kinds[0].p50_ms, ge(380.0));
}

#[tokio::test]
async fn behaviour_changes_at_run_time() {
    let backend = backend(BackendSettings::default()).await;
    let change = ControlChange {
        service_time_us: Some(100_000),
        slots: Some(1),
        ..ControlChange::default()
    };
    let control = backend.change(change).await;
    assert_that!(control.slots, eq(1));
    assert_that!(control.announced_slots, eq(1));
    let report = report(load(&backend, "a=GET,s,/a,1,1", 50.0, 100)).await;
    assert_that!(report.kinds[0].p50_ms, ge(50.0));
}
