//! Departures of targets that are acknowledged while the key-value service fails in some way.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use http::StatusCode;
use rhubarblanding_standins::store::{Faults, OutageMode};

use super::fleet::Fleet;
use super::gate::Gate;
use super::{ROUTES, fleet};

/// Time within which a target that leaves must have an acknowledgement.
const ACKNOWLEDGED_IN: Duration = Duration::from_secs(4);
/// Time for a restarted node to learn what it must know.
const START: Duration = Duration::from_millis(1_500);
/// Number of requests that show which targets serve.
const REQUESTS: usize = 12;

/// Host whose target leaves.
const LEAVING: usize = 1;

/// Trouble between a node and the key-value service.
#[derive(Clone, Copy)]
enum Trouble {
    /// The service fails for all.
    Service(Faults),
    /// The service cannot be reached by the node of the leaving target.
    Cut,
}

impl Trouble {
    fn begin(self, fleet: &Fleet) {
        match self {
            Self::Service(faults) => fleet.store.set_faults(faults),
            Self::Cut => fleet.gates[LEAVING].close(),
        }
    }

    fn end(fleet: &Fleet) {
        fleet.store.set_faults(Faults::default());
        fleet.gates.iter().for_each(Gate::open);
    }
}

/// Has the target of host 1 leave until it is acknowledged.
async fn leave(fleet: &Fleet) {
    let began = Instant::now();
    while fleet.control(LEAVING, "leave i1".to_owned()).await != Some(StatusCode::OK) {
        assert_that!(began.elapsed(), lt(ACKNOWLEDGED_IN));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Has the only other target of the service leave, and sends requests; returns how many of them
/// arrive at the target of host 1.
async fn arrived_at_last_target(fleet: &Fleet) -> usize {
    fleet.control(LEAVING + 1, "leave i2".to_owned()).await;
    let before = fleet.hosts[LEAVING].target.arrived();
    for i in 0..REQUESTS {
        let answer = fleet.request(0, "/once/x", &format!("r{i}")).await;
        assert_that!(answer, some(anything()));
    }
    fleet.hosts[LEAVING].target.arrived() - before
}

/// A target that left was served again after a restart of its node: the departure had been
/// acknowledged when only the memory of the node held it (DRAIN).
async fn departure_outlasts_its_node(trouble: Trouble) {
    let fleet = fleet().await;
    trouble.begin(&fleet);
    leave(&fleet).await;
    fleet.kill(LEAVING).await;
    fleet.start_again(LEAVING).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    Trouble::end(&fleet);
    tokio::time::sleep(START).await;
    // A heartbeat from before the departure, which was delayed on its way.
    fleet.report(LEAVING, 9, "ready").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_that!(arrived_at_last_target(&fleet).await, eq(0));
}

macro_rules! departure_cases {
    ($($name:ident: $trouble:expr;)+) => {
        $(#[tokio::test] async fn $name() { departure_outlasts_its_node($trouble).await; })+
    };
}

fn outage(outage_mode: OutageMode) -> Trouble {
    Trouble::Service(Faults {
        outage: true,
        outage_mode,
        ..Faults::default()
    })
}

departure_cases! {
    departure_outlasts_its_node_while_the_store_refuses: outage(OutageMode::Refuse);
    departure_outlasts_its_node_while_the_store_closes_connections: outage(OutageMode::Drop);
    departure_outlasts_its_node_while_the_store_is_silent: outage(OutageMode::Hang);
    departure_outlasts_its_node_while_the_store_is_slow: Trouble::Service(Faults {
        delay_ms: 324,
        ..Faults::default()
    });
    departure_outlasts_its_node_while_the_store_loses_writes: Trouble::Service(Faults {
        lose_request_before_apply: 100,
        ..Faults::default()
    });
    departure_outlasts_its_node_while_the_store_loses_answers: Trouble::Service(Faults {
        lose_answer_after_apply: 100,
        ..Faults::default()
    });
    departure_outlasts_its_node_while_it_is_cut_off_the_store: Trouble::Cut;
}

/// Each report of a draining target is acknowledged only when its departure is kept, not just the
/// first one.
#[tokio::test]
async fn departure_that_nobody_keeps_is_not_acknowledged() {
    let fleet = Fleet::start(&["turnos"], ROUTES).await;
    outage(OutageMode::Refuse).begin(&fleet);
    for sequence in 2..4 {
        let status = fleet.report(0, sequence, "draining").await;
        assert_that!(status, some(eq(StatusCode::SERVICE_UNAVAILABLE)));
    }
    // It gets no requests all the same.
    let (status, ..) = fleet.request(0, "/once/x", "r1").await.expect("an answer");
    assert_that!(status, eq(StatusCode::SERVICE_UNAVAILABLE));
    Trouble::end(&fleet);
    tokio::time::sleep(START).await;
    let status = fleet.report(0, 4, "draining").await;
    assert_that!(status, some(eq(StatusCode::OK)));
    assert_that!(fleet.stored("mesh/departed/").await, eq(1));
}

/// A departure that other nodes hold is stored by the restarted node, which learned it from them.
#[tokio::test]
async fn learned_departure_is_stored() {
    let fleet = fleet().await;
    outage(OutageMode::Refuse).begin(&fleet);
    leave(&fleet).await;
    fleet.kill(LEAVING).await;
    fleet.start_again(LEAVING).await;
    Trouble::end(&fleet);
    tokio::time::sleep(START).await;
    assert_that!(fleet.stored("mesh/departed/").await, eq(1));
}

/// A restarted node whose target has not left serves it after its first report.
#[tokio::test]
async fn running_target_is_served_after_one_report() {
    let fleet = fleet().await;
    fleet.kill(LEAVING).await;
    fleet.start_again(LEAVING).await;
    tokio::time::sleep(START).await;
    fleet.report(LEAVING, 9, "ready").await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_that!(arrived_at_last_target(&fleet).await, eq(REQUESTS));
}

/// The key-value service stored the departure and came back from a copy of before, while the node
/// was started again.
#[tokio::test]
async fn departure_outlasts_its_node_while_the_store_is_restored() {
    let fleet = fleet().await;
    let copy = fleet.store.copy();
    leave(&fleet).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.kill(LEAVING).await;
    fleet.restore_store(copy).await;
    fleet.start_again(LEAVING).await;
    tokio::time::sleep(START).await;
    fleet.report(LEAVING, 9, "ready").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_that!(arrived_at_last_target(&fleet).await, eq(0));
}

/// The nodes that held an acknowledged departure were started again, one after the other, while the
/// key-value service was away, and then the node of the target.
#[tokio::test]
async fn departure_outlasts_the_nodes_that_hold_it() {
    let fleet = fleet().await;
    outage(OutageMode::Refuse).begin(&fleet);
    leave(&fleet).await;
    for holder in [0, LEAVING + 1] {
        fleet.kill(holder).await;
        fleet.start_again(holder).await;
        tokio::time::sleep(START * 2).await;
    }
    fleet.kill(LEAVING).await;
    fleet.start_again(LEAVING).await;
    tokio::time::sleep(START).await;
    Trouble::end(&fleet);
    tokio::time::sleep(START).await;
    fleet.report(LEAVING, 9, "ready").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_that!(arrived_at_last_target(&fleet).await, eq(0));
}
