//! Non-idempotent requests run at most once while nodes are killed, restarted and paused.

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_standins::load::Report;
use rhubarblanding_standins::process::Signal;

use crate::support::{
    Bench, block_on, doubled, load, not_completed, run, runs_by_key, start, two_services,
    untruthful,
};

/// Length of the load in seconds.
const LOAD_S: f64 = 14.0;
/// Time of the first fault.
const FIRST: Duration = Duration::from_secs(2);

/// What happens to nodes while the load runs.
#[derive(Clone, Copy)]
enum Fault {
    /// Two nodes are killed and started again, one after the other.
    Kill,
    /// One node is paused for a while, twice.
    Pause(Duration),
    /// A node is killed while another is paused.
    KillAndPause,
}

async fn kill_and_restart(bench: &mut Bench, index: usize, down: Duration) {
    let host = &mut bench.cluster.hosts[index];
    host.node = None;
    tokio::time::sleep(down).await;
    host.start_node().unwrap();
}

async fn pause(bench: &Bench, index: usize, time: Duration) {
    let node = bench.cluster.hosts[index].node.as_ref().unwrap();
    node.signal(Signal::Stop).unwrap();
    tokio::time::sleep(time).await;
    node.signal(Signal::Continue).unwrap();
}

async fn act(bench: &mut Bench, fault: Fault) {
    let second = Duration::from_secs(1);
    tokio::time::sleep(FIRST).await;
    match fault {
        Fault::Kill => {
            kill_and_restart(bench, 0, second).await;
            tokio::time::sleep(2 * second).await;
            kill_and_restart(bench, 3, second).await;
        }
        Fault::Pause(time) => {
            pause(bench, 0, time).await;
            tokio::time::sleep(second).await;
            pause(bench, 2, time).await;
        }
        Fault::KillAndPause => {
            let node = bench.cluster.hosts[1].node.as_ref().unwrap();
            node.signal(Signal::Stop).unwrap();
            kill_and_restart(bench, 0, 2 * second).await;
            let node = bench.cluster.hosts[1].node.as_ref().unwrap();
            node.signal(Signal::Continue).unwrap();
        }
    }
}

/// Shares of the endings, for the reader of the test's output.
fn print(report: &Report) {
    let offered = report.outcomes.len();
    let failures = report.failures();
    println!(
        "completed {} of {offered}, failed attempts {failures:?}",
        report.completed()
    );
}

fn no_key_runs_twice(fault: Fault) {
    block_on(async {
        let mut bench = start(two_services()).await;
        let kinds = ["write=POST,turnos,/book,1,1"];
        let mut cfg = load(&bench, &kinds, 80.0, LOAD_S);
        cfg.tries = 4;
        cfg.timeout = Duration::from_secs(2);
        let running = tokio::spawn(run(cfg));
        act(&mut bench, fault).await;
        let report = running.await.unwrap();
        print(&report);
        // What was dispatched before the end of the load may still begin.
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_that!(report.wrong_answers(), eq(0));
        for service in ["turnos", "egresos"] {
            let by_key = runs_by_key(&bench, service).await;
            assert_that!(by_key.len(), gt(0));
            assert_that!(doubled(&by_key), is_empty());
        }
        let runs = bench.cluster.runs_of("turnos").await.unwrap();
        assert_that!(untruthful(&report, &runs), is_empty());
        // The system must not win by refusing: it serves again once the faults are over.
        let last = report
            .outcomes
            .iter()
            .rev()
            .filter(|o| o.arrived.as_secs_f64() > LOAD_S - 1.0);
        let completed = last.filter(|outcome| outcome.is_completed()).count();
        assert_that!(completed, gt(0));
    });
}

rhubarblanding_core::cases! {
    no_key_runs_twice;
    no_key_runs_twice_when_nodes_are_killed: (Fault::Kill);
    no_key_runs_twice_when_nodes_pause_shortly: (Fault::Pause(Duration::from_millis(800)));
    no_key_runs_twice_when_nodes_pause_past_a_lease: (Fault::Pause(Duration::from_secs(4)));
    no_key_runs_twice_when_one_is_killed_and_one_pauses: (Fault::KillAndPause);
}

#[test]
fn a_repeat_through_another_node_gets_the_recorded_answer() {
    block_on(async {
        let bench = start(two_services()).await;
        let entries = bench.cluster.entries();
        let kinds = ["write=POST,turnos,/book,1,1"];
        let mut cfg = load(&bench, &kinds, 50.0, 1.0);
        cfg.tries = 1;
        let report = run(cfg.clone()).await;
        assert_that!(not_completed(&report), is_empty());
        let caller = rhubarblanding_standins::load::Caller::new();
        for outcome in report.outcomes.iter().take(10) {
            let identity = rhubarblanding_standins::load::Identity {
                request_id: outcome.request_id.clone(),
                idempotency_key: outcome.idempotency_key.clone(),
            };
            for _ in &entries {
                let attempts = caller.call(&cfg, &cfg.kinds[0], &identity).await;
                assert_that!(attempts[0].ending.reason(), eq("completed"));
            }
        }
        assert_that!(doubled(&runs_by_key(&bench, "turnos").await), is_empty());
    });
}
