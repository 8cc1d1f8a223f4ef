//! Connections that go silent while new ones work are noticed.

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_standins::load::{Report, Route};
use rhubarblanding_standins::process::{ClusterPlan, free_addresses};
use rhubarblanding_standins::relay::{Relay, RelaySettings};

use crate::support::{
    Bench, block_on, doubled, load, not_completed, run, runs_by_key, service, settings, start_plan,
};

/// Time in which a silent connection must be noticed.
const NOTICED: Duration = Duration::from_secs(1);
/// Time for the repeat of a request on a new connection.
const REPEAT: Duration = Duration::from_millis(500);

/// Two services of one host each; connections to the peer face of the second go through a relay.
async fn start_with_relay() -> (Bench, Relay) {
    let mut services = vec![service("turnos", &[]), service("egresos", &[])];
    services.iter_mut().for_each(|service| service.hosts = 1);
    let mut plan = ClusterPlan::new(&settings(services)).unwrap();
    let listen = free_addresses(1).unwrap()[0];
    let cfg = RelaySettings {
        listen,
        target: plan.hosts[1].node.unwrap().peer,
        control: None,
    };
    let relay = Relay::start(cfg).await.unwrap();
    plan.hosts[1].peer_via = Some(relay.address());
    for host in &mut plan.hosts {
        host.seeds = vec![relay.address()];
    }
    (start_plan(plan).await, relay)
}

async fn load_over_silence(kind: &str) -> (Bench, Report) {
    let (bench, relay) = start_with_relay().await;
    let mut cfg = load(&bench, &[kind], 100.0, 5.0);
    cfg.route = Route::Nodes(vec![bench.cluster.entries()[0]]);
    let running = tokio::spawn(run(cfg));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let second = bench.cluster.hosts[1].backend();
    assert_that!(relay.freeze(), gt(0));
    let accepted = relay.counts().accepted;
    let started = second.counters().await.unwrap().started;
    let report = running.await.unwrap();
    // The second host is reached again, over a connection that is new.
    assert_that!(relay.counts().accepted, gt(accepted));
    assert_that!(second.counters().await.unwrap().started, gt(started));
    (bench, report)
}

#[test]
fn reads_on_a_silent_peer_connection_are_sent_again() {
    block_on(async {
        let (_bench, report) = load_over_silence("read=GET,egresos,/stock,1,1").await;
        assert_that!(not_completed(&report), is_empty());
        let latencies = report.outcomes.iter().map(|o| o.ended - o.arrived);
        assert_that!(latencies.max().unwrap(), le(NOTICED + REPEAT));
    });
}

#[test]
fn writes_on_a_silent_peer_connection_run_once_and_are_settled() {
    block_on(async {
        let (bench, report) = load_over_silence("write=POST,egresos,/book,1,1").await;
        assert_that!(doubled(&runs_by_key(&bench, "egresos").await), is_empty());
        let late = report
            .outcomes
            .iter()
            .filter(|o| o.ended - o.arrived > NOTICED + REPEAT);
        assert_that!(late.count(), eq(0));
        assert_that!(report.wrong_answers(), eq(0));
    });
}
