//! Answers that do not end.

use std::time::{Duration, Instant};

use googletest::prelude::*;

use super::target::{Behaviour, Endless};
use super::{ROUTES, fleet, set_all};

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
