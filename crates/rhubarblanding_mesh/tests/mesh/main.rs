//! Complete nodes with their own targets and key-value service: behaviour seen by clients and targets.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

mod crashes;
mod fleet;
mod notices;
mod protocol;
mod target;

use std::time::{Duration, Instant};

use fleet::Fleet;
use googletest::prelude::*;
use rhubarblanding_standins::store::{Faults, Kv};
use target::{Behaviour, Endless, header};

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
    let mut fleet = fleet().await;
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
    let mut fleet = fleet().await;
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

/// Time after the deadline within which an endless answer is ended.
const ENDLESS_GRACE: Duration = Duration::from_millis(700);
/// A chunk that the test's client parses as fast as it arrives.
const CHUNK: &str = "40\r\nbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\n";
/// Deadline of the test's requests.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// A target sends bytes without end. The request ends once and in time, never as a success; the
/// connection is closed, and other requests are served meanwhile.
async fn endless_answer_is_ended(start: &'static str, unit: &'static str) {
    let fleet = fleet().await;
    let endless = Behaviour::Endless(Endless { start, unit });
    fleet.hosts[1].target.set(endless);
    fleet.hosts[2].target.set(endless);
    let began = Instant::now();
    let (ended, other) = tokio::join!(fleet.request(0, "/once/x", "r1"), async {
        fleet
            .configure(2, &[("/safe/", "egresos", true), ROUTES[1]])
            .await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        let asked = Instant::now();
        let (status, _, _) = fleet.request(0, "/safe/x", "r2").await.expect("an answer");
        (status.as_u16(), asked.elapsed())
    });
    assert_that!(began.elapsed(), lt(DEADLINE + ENDLESS_GRACE));
    let status = ended.map(|(status, _, _)| status.as_u16());
    assert_that!(status, any![none(), some(any![eq(502), eq(504)])]);
    assert_that!(fleet.runs_of("r1"), eq(1));
    assert_that!(other.0, eq(200));
    assert_that!(other.1, lt(Duration::from_millis(500)));
    tokio::time::sleep(ENDLESS_GRACE).await;
    let closed: Vec<Duration> = fleet
        .hosts
        .iter()
        .flat_map(|h| h.target.endless())
        .collect();
    assert_that!(closed, elements_are![lt(&(DEADLINE + ENDLESS_GRACE))]);
}

macro_rules! endless_cases {
    ($($name:ident: ($($arg:expr),*);)+) => {
        $(#[tokio::test] async fn $name() { endless_answer_is_ended($($arg),*).await; })+
    };
}

endless_cases! {
    endless_headers: ("", "a: b\r\n");
    endless_header_line: ("a: ", "bbbbbbbb");
    endless_status_line: ("HTTP/1.1 200 ", "bbbbbbbb");
    endless_garbage: ("HTTP", "bbbbbbbb");
    endless_interim_answers: ("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n");
    endless_body_without_length: ("\r\n", "bbbbbbbb");
    endless_body_in_chunks: ("transfer-encoding: chunked\r\n\r\n", CHUNK);
    endless_chunk_extension: ("transfer-encoding: chunked\r\n\r\n8;", "bbbbbbbb");
    endless_chunk_size: ("transfer-encoding: chunked\r\n\r\n", "00000000");
    endless_trailers: ("transfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n");
}

/// Bytes beyond the announced length belong to no request, however many follow.
#[tokio::test]
async fn endless_bytes_after_a_complete_answer_reach_nobody() {
    let fleet = fleet().await;
    let endless = Behaviour::Endless(Endless {
        start: "content-length: 5\r\n\r\nwhole",
        unit: "bbbbbbbb",
    });
    set_all(&fleet, endless);
    for i in 0..6 {
        let id = format!("r{i}");
        let (status, _, body) = fleet.request(0, "/once/x", &id).await.expect("an answer");
        assert_that!(status.as_u16(), eq(200));
        assert_that!(body.as_str(), eq("whole"));
    }
    tokio::time::sleep(ENDLESS_GRACE).await;
    let closed: Vec<Duration> = fleet
        .hosts
        .iter()
        .flat_map(|h| h.target.endless())
        .collect();
    assert_that!(closed, each(lt(&ENDLESS_GRACE)));
    assert_that!(closed.len(), eq(6));
}
