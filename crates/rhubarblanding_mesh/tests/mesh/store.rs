//! Outages, restores and the load of the key-value service.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use rhubarblanding_standins::store::{Faults, Kv};

use super::fleet::Fleet;
use super::target::header;
use super::{ROUTES, fleet};

/// Nodes serve with their local state during an outage of the key-value service.
#[tokio::test]
async fn requests_are_served_during_a_store_outage() {
    let fleet = fleet().await;
    fleet.store.set_faults(Faults {
        outage: true,
        ..Default::default()
    });
    let began = Instant::now();
    for i in 0..5 {
        let (status, _, _) = fleet
            .request(0, "/once/x", &format!("r{i}"))
            .await
            .expect("an answer");
        assert_that!(status.as_u16(), eq(200));
    }
    assert_that!(began.elapsed(), lt(Duration::from_secs(1)));
    let acknowledged = fleet.report(1, 2, "draining").await.map(|s| s.as_u16());
    assert_that!(acknowledged, some(eq(200)));
    assert_that!(began.elapsed(), lt(Duration::from_secs(2)));
}

/// Each call of the key-value service costs its users, failed ones included.
#[tokio::test]
async fn nodes_call_a_failing_store_at_most_twice_a_second() {
    let fleet = fleet().await;
    let before = fleet.store.calls().total();
    fleet.store.set_faults(Faults {
        outage: true,
        ..Default::default()
    });
    const SECONDS: u64 = 6;
    tokio::time::sleep(Duration::from_secs(SECONDS)).await;
    let calls = fleet.store.calls().total() - before;
    assert_that!(calls, le(2 * SECONDS * fleet.hosts.len() as u64));
}

/// A restarted node must be able to read which instances left, whatever the result of the first
/// attempt to record a departure.
async fn departure_is_recorded_after(faults: Faults, later_faults: Faults) {
    let fleet = fleet().await;
    fleet.store.set_faults(faults);
    let acknowledged = fleet.control(1, "leave i1".to_owned()).await;
    assert_that!(acknowledged.map(|s| s.as_u16()), some(eq(200)));
    fleet.store.set_faults(later_faults);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_that!(fleet.stored("mesh/departed/").await, eq(1));
}

#[tokio::test]
async fn departure_is_recorded_after_an_outage() {
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    departure_is_recorded_after(outage, Faults::default()).await;
}

#[tokio::test]
async fn departure_is_recorded_after_lost_answers() {
    let lost = Faults {
        lose_answer_after_apply: 2,
        ..Faults::default()
    };
    departure_is_recorded_after(lost, lost).await;
}

/// Time for nodes to notice that the key-value service was restored, and to write again.
const RESTORE_LIMIT: Duration = Duration::from_secs(2);

/// Host whose target runs a request to the route `/safe/`.
async fn serving_host(fleet: &Fleet, id: &str) -> Option<usize> {
    let (status, _, _) = fleet.request(1, "/safe/x", id).await.expect("an answer");
    assert_that!(status.as_u16(), eq(200));
    let ran = |host: &fleet::Host| {
        let ran = host.target.ran();
        ran.iter().any(|head| header(head, "t-id") == Some(id))
    };
    fleet.hosts.iter().position(ran)
}

/// A restore takes back revisions, but not the configuration in force; a later version is adopted
/// though its revision was seen before.
#[tokio::test]
async fn configuration_is_followed_through_a_restore() {
    let fleet = fleet().await;
    let copy = fleet.store.copy();
    for version in 2..8 {
        fleet
            .configure(version, &[("/safe/", "egresos", true)])
            .await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_that!(serving_host(&fleet, "r1").await, some(eq(0)));
    fleet.restore_store(copy).await;
    tokio::time::sleep(RESTORE_LIMIT).await;
    assert_that!(serving_host(&fleet, "r2").await, some(eq(0)));
    fleet.configure(9, ROUTES).await;
    tokio::time::sleep(RESTORE_LIMIT).await;
    assert_that!(serving_host(&fleet, "r3").await, some(gt(0)));
}

/// Addresses and departures that a restore lost are written again.
#[tokio::test]
async fn entries_are_written_again_after_a_restore() {
    let fleet = fleet().await;
    fleet.control(1, "leave i1".to_owned()).await;
    fleet.report(2, 2, "draining").await;
    assert_that!(fleet.stored("mesh/departed/").await, eq(2));
    assert_that!(fleet.stored("mesh/nodes/").await, eq(3));
    fleet.restore_store(Kv::default()).await;
    tokio::time::sleep(RESTORE_LIMIT).await;
    assert_that!(fleet.stored("mesh/departed/").await, eq(2));
    assert_that!(fleet.stored("mesh/nodes/").await, eq(3));
}

/// While nothing happens, three nodes read the configuration each second, and each renews its address.
#[tokio::test]
async fn calm_nodes_call_the_store_seldom() {
    let fleet = fleet().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = fleet.store.calls().total();
    const SECONDS: u64 = 8;
    tokio::time::sleep(Duration::from_secs(SECONDS)).await;
    let calls = fleet.store.calls().total() - before;
    let hosts = fleet.hosts.len() as u64;
    // A read each second and a renewal every 2.5 s, a list and a watch that ends.
    let of_one = SECONDS + SECONDS * 2 / 5 + 2;
    assert_that!(calls, le(hosts.min(3) * of_one + 2));
    // Knowledge that nothing renews would need no calls.
    assert_that!(calls, gt(SECONDS));
}

/// A node that may have missed a version does not claim that a route does not exist.
#[tokio::test]
async fn unknown_route_is_refused_for_good_on_fresh_knowledge_only() {
    let fleet = fleet().await;
    let status = async |id: &str| {
        let answer = fleet.request(0, "/later/x", id).await;
        let (status, headers, _) = answer.expect("an answer");
        (status.as_u16(), headers.contains_key("retry-after"))
    };
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_that!(status("r1").await, eq((404, false)));
    fleet.store.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_that!(status("r2").await, eq((503, true)));
    fleet.store.set_faults(Faults::default());
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_that!(status("r3").await, eq((404, false)));
}
