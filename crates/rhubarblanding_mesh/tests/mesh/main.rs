//! Complete nodes with their own targets and key-value service: behaviour seen by clients and targets.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

mod accounts;
mod ahead;
mod crashes;
mod departures;
mod endless;
mod fleet;
mod gate;
mod large;
mod logs;
mod node;
mod notices;
mod protocol;
mod quotas;
mod stops;
mod store;
mod target;

use std::time::{Duration, Instant};

use fleet::Fleet;
use googletest::prelude::*;
use target::{Behaviour, header};

const ROUTES: &[(&str, &str, bool)] = &[("/safe/", "turnos", true), ("/once/", "turnos", false)];

/// Starts an entry host of another service and two serving targets.
async fn fleet() -> Fleet {
    Fleet::start(&["egresos", "turnos", "turnos"], ROUTES).await
}

fn set_all(fleet: &Fleet, behaviour: Behaviour) {
    for host in &fleet.hosts {
        host.target.set(behaviour);
    }
}

#[tokio::test]
async fn request_reaches_a_target_of_its_service_with_system_headers() {
    let fleet = fleet().await;
    let (status, headers, body) = fleet
        .request(0, "/once/a?b=c", "r1")
        .await
        .expect("an answer");
    assert_that!(status.as_u16(), eq(200));
    assert_that!(body.as_str(), eq("whole"));
    assert_that!(headers.get("t-signature").is_some(), eq(true));
    assert_that!(headers.get("rb-result").is_none(), eq(true));
    let ran: Vec<String> = fleet.hosts.iter().flat_map(|h| h.target.ran()).collect();
    assert_that!(ran.len(), eq(1));
    let head = &ran[0];
    assert_that!(head.as_str(), starts_with("POST /once/a?b=c HTTP/1.1"));
    assert_that!(header(head, "host"), some(eq("mesh.example")));
    assert_that!(header(head, "t-caller"), some(eq("egresos")));
    assert_that!(header(head, "t-expected"), some(any![eq("i1"), eq("i2")]));
    assert_that!(header(head, "rb-hop"), none());
    let left: u64 = header(head, "t-deadline")
        .and_then(|v| v.parse().ok())
        .expect("a deadline");
    assert_that!(left, all![gt(1_500), le(2_500)]);
}

/// Checks the client's answer and the number of runs while all targets behave alike.
async fn ends_with(behaviour: Behaviour, path: &str, status: u16, runs: usize) {
    let fleet = fleet().await;
    set_all(&fleet, behaviour);
    let (got, headers, _) = fleet.request(0, path, "r1").await.expect("an answer");
    assert_that!(got.as_u16(), eq(status));
    assert_that!(fleet.runs_of("r1"), eq(runs));
    // Answers of the node itself never carry a target's signature.
    let is_own = matches!(status, 502..=504);
    assert_that!(headers.contains_key("t-signature"), eq(!is_own));
}

macro_rules! end_cases {
    ($($name:ident: ($($arg:expr),*);)+) => {
        $(#[tokio::test] async fn $name() { ends_with($($arg),*).await; })+
    };
}

end_cases! {
    lost_answer_is_not_retried: (Behaviour::Lose, "/once/x", 502, 1);
    lost_answer_is_retried_if_it_may_run_twice: (Behaviour::Lose, "/safe/x", 502, 2);
    cut_answer_is_not_delivered: (Behaviour::Cut, "/once/x", 502, 1);
    answer_of_another_request_is_not_delivered: (Behaviour::WrongId, "/once/x", 502, 1);
    encoded_answer_is_not_delivered: (Behaviour::Encoded, "/once/x", 502, 1);
    encoded_large_answer_is_not_delivered: (Behaviour::EncodedLarge, "/once/x", 502, 1);
    large_refusal_did_not_run: (Behaviour::ShedLarge, "/once/x", 503, 0);
    shed_request_did_not_run: (Behaviour::Shed, "/once/x", 503, 0);
    failure_is_delivered: (Behaviour::Fail, "/once/x", 500, 1);
    failure_is_retried_if_it_may_run_twice: (Behaviour::Fail, "/safe/x", 500, 2);
}

#[tokio::test]
async fn lost_answer_is_replaced_by_another_target() {
    let fleet = fleet().await;
    fleet.hosts[1].target.set(Behaviour::Lose);
    for i in 0..3 {
        let id = format!("r{i}");
        let (status, _, body) = fleet.request(0, "/safe/x", &id).await.expect("an answer");
        assert_that!(status.as_u16(), eq(200));
        assert_that!(body.as_str(), eq("whole"));
    }
}

/// One target runs each request without a usable answer, the other refuses it. In either order of
/// attempts, a request that ran must not be reported to the client as not run.
async fn refusal_does_not_hide_an_earlier_run(first: Behaviour, status: u16) {
    let fleet = fleet().await;
    fleet.hosts[1].target.set(first);
    fleet.hosts[2].target.set(Behaviour::Shed);
    let mut ran = 0;
    for i in 0..12 {
        let id = format!("r{i}");
        let (got, _, _) = fleet.request(0, "/safe/x", &id).await.expect("an answer");
        let runs = fleet.runs_of(&id);
        assert_that!(got.as_u16(), eq(if runs > 0 { status } else { 503 }));
        ran += runs;
    }
    assert_that!(ran, gt(0));
}

#[tokio::test]
async fn lost_answer_is_not_reported_as_not_run() {
    refusal_does_not_hide_an_earlier_run(Behaviour::Lose, 502).await;
}

#[tokio::test]
async fn failure_is_delivered_if_no_other_target_answers() {
    refusal_does_not_hide_an_earlier_run(Behaviour::Fail, 500).await;
}

/// An extra answer on a reused connection must not become the answer to the next request.
#[tokio::test]
async fn extra_answers_are_discarded() {
    let fleet = fleet().await;
    set_all(&fleet, Behaviour::Extra);
    for i in 0..20 {
        let id = format!("r{i}");
        let (_, _, body) = fleet.request(0, "/once/x", &id).await.expect("an answer");
        assert_that!(body.as_str(), not(eq("extra")));
        assert_that!(fleet.runs_of(&id), le(1));
    }
}

/// A copy of an earlier answer arrives when its connection is in use again. The request in progress
/// gets its own answer or none; it must not be told that it did not run.
#[tokio::test]
async fn late_copy_of_an_answer_reaches_nobody_else() {
    let fleet = fleet().await;
    set_all(&fleet, Behaviour::LateCopy);
    let mut lost = 0;
    for i in 0..40 {
        let id = format!("r{i}");
        let (status, _, body) = fleet.request(0, "/once/x", &id).await.expect("an answer");
        match status.as_u16() {
            200 => assert_that!(body, eq(&id)),
            other => {
                assert_that!(other, eq(502));
                lost += 1;
            }
        }
        assert_that!(fleet.runs_of(&id), eq(1));
    }
    // Both the faulty case and the case without reuse occurred.
    assert_that!(lost, all![gt(0), lt(40)]);
}

#[tokio::test]
async fn unknown_route_and_missing_configuration_differ() {
    let fleet = Fleet::without_configuration(&["turnos"]).await;
    let (status, headers, _) = fleet.request(0, "/safe/x", "r1").await.expect("an answer");
    assert_that!(status.as_u16(), eq(503));
    assert_that!(headers.contains_key("retry-after"), eq(true));
    fleet.configure(1, ROUTES).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (status, _, _) = fleet
        .request(0, "/nothing/x", "r2")
        .await
        .expect("an answer");
    assert_that!(status.as_u16(), eq(404));
}

#[tokio::test]
async fn draining_target_gets_no_requests_after_the_acknowledgement() {
    let fleet = fleet().await;
    assert_that!(
        fleet.report(1, 2, "draining").await.map(|s| s.as_u16()),
        some(eq(200))
    );
    let before = fleet.hosts[1].target.arrived();
    for i in 0..10 {
        let (status, _, _) = fleet
            .request(0, "/once/x", &format!("r{i}"))
            .await
            .expect("an answer");
        assert_that!(status.as_u16(), eq(200));
    }
    // A late report of the same instance changes nothing.
    fleet.report(1, 3, "ready").await;
    fleet.request(0, "/once/x", "late").await;
    assert_that!(fleet.hosts[1].target.arrived(), eq(before));
}

#[tokio::test]
async fn departed_target_gets_no_requests_after_a_delayed_report() {
    let fleet = fleet().await;
    fleet.control(1, "leave i1".to_owned()).await;
    fleet.report(1, 9, "ready").await;
    for i in 0..6 {
        fleet.request(0, "/once/x", &format!("r{i}")).await;
    }
    assert_that!(fleet.hosts[1].target.arrived(), eq(0));
}

#[tokio::test]
async fn work_is_cancelled_when_the_client_disconnects() {
    let fleet = fleet().await;
    set_all(&fleet, Behaviour::Work);
    let request = fleet.request(0, "/safe/x", "r1");
    let _ = tokio::time::timeout(Duration::from_millis(300), request).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let closed = fleet
        .hosts
        .iter()
        .find_map(|h| h.target.closed_while_working());
    assert_that!(closed, some(le(Duration::from_millis(800))));
}

#[tokio::test]
async fn later_configuration_is_adopted_and_an_earlier_one_is_not() {
    let fleet = fleet().await;
    fleet.configure(3, &[("/safe/", "egresos", true)]).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.request(1, "/safe/x", "r1").await.expect("an answer");
    assert_that!(fleet.hosts[0].target.arrived(), eq(1));
    fleet.configure(2, ROUTES).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.request(1, "/safe/x", "r2").await.expect("an answer");
    assert_that!(fleet.hosts[0].target.arrived(), eq(2));
}

#[tokio::test]
async fn metrics_are_text_with_refusals_and_latency() {
    let fleet = fleet().await;
    fleet.request(0, "/safe/x", "r1").await;
    fleet.request(0, "/nothing/x", "r2").await;
    let metrics = fleet
        .get(fleet.hosts[0].metrics, "/metrics")
        .await
        .expect("an answer")
        .2;
    for line in [
        "rhubarblanding_refusals_total{reason=\"unknown_route\"} 1",
        "rhubarblanding_answers_total{status=\"200\"} 1",
        "rhubarblanding_answer_seconds_count 1",
    ] {
        assert_that!(metrics.as_str(), contains_substring(line));
    }
}

/// Clients that keep their connections to a stopping node get an answer to each request until the
/// node exits; requests that are not run are refused with a retry delay.
#[tokio::test]
async fn stopping_node_answers_everything_that_it_reads() {
    let fleet = fleet().await;
    fleet.stop(0);
    let began = Instant::now();
    let mut refused = 0;
    let mut sent = 0;
    while began.elapsed() < Duration::from_secs(7) {
        let id = format!("r{sent}");
        sent += 1;
        let Some((status, headers, _)) = fleet.request(0, "/once/x", &id).await else {
            // Once the node has stopped listening, it reads nothing and no request may run.
            assert_that!(fleet.runs_of(&id), eq(0));
            assert_that!(began.elapsed(), gt(Duration::from_secs(5)));
            break;
        };
        assert_that!(headers.contains_key("connection"), eq(true));
        let runs = match status.as_u16() {
            200 => 1,
            503 => 0,
            other => return assert_that!(other, eq(200)),
        };
        assert_that!(fleet.runs_of(&id), eq(runs));
        refused += 1 - runs;
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    assert_that!(refused, gt(0));
    assert_that!(sent, gt(refused));
    let (status, _, _) = fleet
        .request(1, "/once/x", "after")
        .await
        .expect("an answer");
    assert_that!(status.as_u16(), eq(200));
}

/// Stopping nodes serve the requests of a service that has no other target, so that a restart of
/// all of them in turn causes no outage.
#[tokio::test]
async fn stopping_nodes_serve_while_no_other_target_of_their_service_does() {
    let fleet = fleet().await;
    fleet.stop(1);
    fleet.stop(2);
    let began = Instant::now();
    let mut sent = 0;
    while began.elapsed() < Duration::from_secs(3) {
        let answer = fleet.request(0, "/once/x", &format!("r{sent}")).await;
        let (status, _, _) = answer.expect("an answer");
        assert_that!(status.as_u16(), eq(200), "after {:?}", began.elapsed());
        sent += 1;
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
}
