//! A request that is refused as not run appears in no run log, at once or later.

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_core::error::RunState;
use rhubarblanding_core::importance::Idempotency;
use rhubarblanding_standins::backend::{ControlChange, Run};
use rhubarblanding_standins::load::{Ending, LoadSettings, Outcome, Report, Route};
use rhubarblanding_standins::process::{ServiceSettings, Signal, wait_until};
use rhubarblanding_standins::relay::RelayChange;

use crate::support::{Bench, READY, block_on, load, run, service, start, two_services, untruthful};
use crate::whole_answers::start_behind_relay;

/// Time after the load in which a request may still begin to run.
const LATER: Duration = Duration::from_secs(3);
/// Time of the fault after the start of the load.
const FAULT: Duration = Duration::from_secs(1);
/// Time within which both targets have work, so that a lost connection hits some.
const LOSS_LIMIT: Duration = Duration::from_millis(1_500);
/// Name of the kind whose writes carry no key.
const UNKEYED: &str = "unkeyed";
/// Keyed writes, writes without a key, and reads.
const KINDS: [&str; 3] = [
    "keyed=POST,turnos,/book,1,1",
    "unkeyed=POST,turnos,/note,1,1",
    "read=GET,turnos,/stock,1,1",
];
/// The same with a time that is often over before a slot is free.
const SHORT: [&str; 3] = [
    "keyed=POST,turnos,/book,1,1,30",
    "unkeyed=POST,turnos,/note,1,1,30",
    "read=GET,turnos,/stock,1,1,30",
];
/// The same with a time that is over during a pause.
const PAUSED: [&str; 3] = [
    "keyed=POST,turnos,/book,1,1,1500",
    "unkeyed=POST,turnos,/note,1,1,1500",
    "read=GET,turnos,/stock,1,1,1500",
];

/// A service with few slots and slow work.
fn slow(name: &str) -> ServiceSettings {
    let mut service = service(name, &[]);
    service.backend.slots = 2;
    service.backend.service_time = Duration::from_millis(20);
    service
}

/// A service whose backend servers announce more slots than they have and shed what is above.
fn shedding(name: &str) -> ServiceSettings {
    let mut service = slow(name);
    service.backend.announced_slots = Some(16);
    service.backend.shed_above = Some(3);
    service
}

/// Two services of which the lower is slow.
fn slow_below() -> Vec<ServiceSettings> {
    let mut services = two_services();
    services[1] = slow("egresos");
    services
}

/// Load with one attempt for each request, so that each answer is judged.
fn single(bench: &Bench, kinds: &[&str], rate: f64, seconds: f64) -> LoadSettings {
    let mut cfg = load(bench, kinds, rate, seconds);
    cfg.tries = 1;
    cfg.timeout = Duration::from_secs(6);
    for kind in cfg.kinds.iter_mut().filter(|kind| kind.name == UNKEYED) {
        kind.idempotency = Idempotency::Idempotent;
    }
    cfg
}

/// Runs in all logs once late work has had its time.
async fn later_runs(bench: &Bench) -> Vec<Run> {
    tokio::time::sleep(LATER).await;
    let mut runs = Vec::new();
    for host in &bench.cluster.hosts {
        runs.extend(host.backend().runs().await.unwrap());
    }
    runs
}

fn refused_as_not_run(report: &Report) -> usize {
    let not_run = report.outcomes.iter().filter(|o| o.is_not_run());
    not_run.count()
}

/// Answers by reason, for the reader of the test's output.
fn print(report: &Report) {
    let offered = report.outcomes.len();
    let (completed, refused) = (report.completed(), refused_as_not_run(report));
    let failures = report.failures();
    println!("completed {completed} of {offered}, not run {refused}, failures {failures:?}");
}

/// Untruthful refusals with the reason given.
fn with_reasons(report: &Report, runs: &[Run]) -> Vec<String> {
    let ids = untruthful(report, runs);
    let of_these = report
        .outcomes
        .iter()
        .filter(|outcome| ids.contains(&outcome.request_id));
    of_these.map(describe).collect()
}

fn describe(outcome: &Outcome) -> String {
    let reasons = outcome.attempts.iter().map(|a| a.ending.reason());
    let reasons: Vec<String> = reasons.collect();
    format!("{} {}", outcome.request_id, reasons.join(","))
}

fn refusals_are_true(services: Vec<ServiceSettings>, kinds: &[&str], rate: f64) {
    block_on(async {
        let bench = start(services).await;
        let report = run(single(&bench, kinds, rate, 4.0)).await;
        print(&report);
        let runs = later_runs(&bench).await;
        assert_that!(refused_as_not_run(&report), gt(0));
        assert_that!(report.completed(), gt(0));
        assert_that!(with_reasons(&report, &runs), is_empty());
    });
}

rhubarblanding_core::cases! {
    refusals_are_true;
    refusals_are_true_under_overload: (vec![slow("turnos")], &KINDS, 500.0);
    refusals_are_true_under_overload_further_down: (slow_below(), &KINDS, 400.0);
    refusals_are_true_when_backend_servers_shed: (vec![shedding("turnos")], &KINDS, 400.0);
    refusals_are_true_when_deadlines_pass_in_the_queue: (vec![slow("turnos")], &SHORT, 400.0);
}

fn refusals_are_true_over_a_pause(index: usize, time: Duration) {
    block_on(async {
        let bench = start(vec![slow("turnos")]).await;
        let running = tokio::spawn(run(single(&bench, &PAUSED, 300.0, 6.0)));
        tokio::time::sleep(FAULT).await;
        let node = bench.cluster.hosts[index].node.as_ref().unwrap();
        node.signal(Signal::Stop).unwrap();
        tokio::time::sleep(time).await;
        node.signal(Signal::Continue).unwrap();
        let report = running.await.unwrap();
        print(&report);
        let runs = later_runs(&bench).await;
        assert_that!(refused_as_not_run(&report), gt(0));
        assert_that!(with_reasons(&report, &runs), is_empty());
    });
}

rhubarblanding_core::cases! {
    refusals_are_true_over_a_pause;
    refusals_are_true_over_a_short_pause: (1, Duration::from_millis(600));
    refusals_are_true_over_a_pause_past_the_deadlines: (1, Duration::from_secs(4));
    refusals_are_true_over_a_pause_of_the_first_node: (0, Duration::from_secs(4));
}

/// Number of requests that ran and whose answer did not reach the caller.
fn ran_in_vain(report: &Report, runs: &[Run]) -> usize {
    let began = runs.iter().filter(|run| run.runs > 0);
    let ran: Vec<&str> = began.map(|run| run.request_id.as_str()).collect();
    let failed = report.outcomes.iter().filter(|o| !o.is_completed());
    failed
        .filter(|outcome| ran.contains(&outcome.request_id.as_str()))
        .count()
}

/// Number of requests that the host's backend server is running.
async fn running_at(bench: &Bench, host: usize) -> u64 {
    let counters = bench.cluster.hosts[host]
        .backend()
        .counters()
        .await
        .unwrap();
    counters.started - counters.completed - counters.cancelled
}

/// Sends load until the second host has run some: a node that was slow to start is not in the first
/// home table, and gets no keys until the table has changed.
async fn wait_until_both_run(bench: &Bench, cfg: &LoadSettings) {
    wait_until(READY, "a run behind the relay", async || {
        run(cfg.clone()).await;
        let second = bench.cluster.hosts[1].backend();
        second.counters().await.unwrap().started > 0
    })
    .await
    .unwrap();
}

/// Requests lose their connection to one target while they run, and the other target sheds.
fn refusals_are_true_after_a_loss(kind: &str) {
    block_on(async {
        let (bench, relay) = start_behind_relay(vec![service("turnos", &[])]).await;
        let shed = ControlChange {
            shed_above: Some(0),
            ..ControlChange::default()
        };
        let mut cfg = single(&bench, &[kind], 40.0, 3.0);
        cfg.route = Route::Nodes(vec![bench.cluster.entries()[0]]);
        let mut first = single(&bench, &[kind], 40.0, 0.5);
        first.route = cfg.route.clone();
        // Identifiers of this load must not be taken for those of the load that is checked.
        first.name = "warmup".to_owned();
        wait_until_both_run(&bench, &first).await;
        let running = tokio::spawn(run(cfg));
        tokio::time::sleep(FAULT).await;
        wait_until(LOSS_LIMIT, "two runs behind the relay", async || {
            running_at(&bench, 1).await >= 2
        })
        .await
        .unwrap();
        // Shed requests stop retries for a while, so that the connection is cut at the same moment.
        bench.cluster.hosts[0].backend().change(shed).await.unwrap();
        relay.change(RelayChange {
            cut: true,
            refuse_new: Some(true),
            ..RelayChange::default()
        });
        let report = running.await.unwrap();
        print(&report);
        let runs = later_runs(&bench).await;
        // The loss has hit requests that were running.
        assert_that!(ran_in_vain(&report, &runs), gt(0));
        assert_that!(with_reasons(&report, &runs), is_empty());
    });
}

rhubarblanding_core::cases! {
    refusals_are_true_after_a_loss;
    refusals_are_true_when_the_repeat_of_a_lost_read_is_shed:
        ("read=GET,turnos,/stock?ms=400,1,1");
    refusals_are_true_when_a_keyed_write_is_lost: ("keyed=POST,turnos,/book?ms=400,1,1");
    refusals_are_true_when_a_write_without_a_key_is_lost:
        ("unkeyed=POST,turnos,/note?ms=400,1,1");
}

/// The node that stops refuses what it has not begun.
#[test]
fn refusals_are_true_while_a_node_stops() {
    block_on(async {
        let bench = start(vec![slow("turnos")]).await;
        let running = tokio::spawn(run(single(&bench, &KINDS, 400.0, 4.0)));
        tokio::time::sleep(FAULT).await;
        let node = bench.cluster.hosts[1].node.as_ref().unwrap();
        node.signal(Signal::Terminate).unwrap();
        let report = running.await.unwrap();
        print(&report);
        let runs = later_runs(&bench).await;
        assert_that!(refused_as_not_run(&report), gt(0));
        assert_that!(with_reasons(&report, &runs), is_empty());
    });
}

/// A backend server that runs a request and denies it is noticed.
#[test]
fn the_check_notices_a_false_not_run() {
    block_on(async {
        let bench = start(vec![service("turnos", &[])]).await;
        let kinds = ["write=POST,turnos,/book?false_not_run=1,1,1"];
        let report = run(single(&bench, &kinds, 20.0, 1.0)).await;
        print(&report);
        let runs = later_runs(&bench).await;
        let noticed = with_reasons(&report, &runs).len();
        assert_that!(noticed, all![gt(0), eq(report.outcomes.len())]);
    });
}

/// Time after which a caller gives an attempt up and repeats its key.
const IMPATIENT: Duration = Duration::from_millis(150);

/// Keyed requests whose last attempt was refused as not run though their key ran.
fn denied(report: &Report, runs: &[Run]) -> Vec<String> {
    let began = runs.iter().filter(|run| run.runs > 0);
    let keys: Vec<&str> = began
        .filter_map(|run| run.idempotency_key.as_deref())
        .collect();
    let of_keys = report.outcomes.iter().filter(|outcome| {
        let key = outcome.idempotency_key.as_deref();
        key.is_some_and(|key| keys.contains(&key))
    });
    of_keys
        .filter(|outcome| ends_not_run(outcome))
        .map(describe)
        .collect()
}

fn ends_not_run(outcome: &Outcome) -> bool {
    let last = outcome.attempts.last().map(|attempt| &attempt.ending);
    matches!(last, Some(Ending::Refused(refused)) if refused.run_state == Some(RunState::NotRun))
}

/// What happens to the second node while callers repeat their keys.
enum Fault {
    Nothing,
    Pause(Duration),
}

fn a_key_that_ran_is_not_denied(services: Vec<ServiceSettings>, rate: f64, fault: Fault) {
    block_on(async {
        let bench = start(services).await;
        let mut cfg = single(&bench, &KINDS[..1], rate, 6.0);
        cfg.tries = 4;
        cfg.timeout = IMPATIENT;
        let running = tokio::spawn(run(cfg));
        tokio::time::sleep(FAULT).await;
        if let Fault::Pause(time) = fault {
            let node = bench.cluster.hosts[1].node.as_ref().unwrap();
            node.signal(Signal::Stop).unwrap();
            tokio::time::sleep(time).await;
            node.signal(Signal::Continue).unwrap();
        }
        let report = running.await.unwrap();
        print(&report);
        let ended = report.outcomes.iter().filter(|o| ends_not_run(o));
        println!("ended as not run {}", ended.count());
        let runs = later_runs(&bench).await;
        assert_that!(report.completed(), gt(0));
        assert_that!(denied(&report, &runs), is_empty());
    });
}

rhubarblanding_core::cases! {
    a_key_that_ran_is_not_denied;
    a_key_that_ran_is_not_denied_under_overload: (vec![slow("turnos")], 300.0, Fault::Nothing);
    a_key_that_ran_is_not_denied_by_shedding: (vec![shedding("turnos")], 300.0, Fault::Nothing);
    a_key_that_ran_is_not_denied_over_a_pause:
        (vec![slow("turnos")], 150.0, Fault::Pause(Duration::from_secs(3)));
}

/// A key whose run is denied is noticed.
#[test]
fn the_check_notices_a_denied_key() {
    block_on(async {
        let bench = start(vec![service("turnos", &[])]).await;
        let kinds = ["write=POST,turnos,/book?false_not_run=1,1,1"];
        let report = run(single(&bench, &kinds, 20.0, 1.0)).await;
        let runs = later_runs(&bench).await;
        assert_that!(denied(&report, &runs).len(), eq(report.outcomes.len()));
    });
}
