//! Requests sent ahead on one connection to a node.

use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::fleet::Fleet;
use super::target::{Behaviour, SLOW};

const ROUTES: &[(&str, &str, bool)] = &[
    ("/slow/", "lentos", true),
    ("/safe/", "turnos", true),
    ("/once/", "turnos", false),
];
/// Time after which a node has passed on what it may.
const SETTLE: Duration = Duration::from_millis(200);

/// Starts an entry host, a target that answers and one that answers late.
async fn fleet() -> Fleet {
    let fleet = Fleet::start(&["egresos", "turnos", "lentos"], ROUTES).await;
    fleet.hosts[2].target.set(Behaviour::AnswerLate);
    fleet
}

/// Sends a request for each path on one connection; their identifiers are `r0`, `r1` and so on.
async fn send(fleet: &Fleet, paths: &[&str]) -> TcpStream {
    let requests = paths.iter().enumerate().map(|(i, path)| {
        format!(
            "GET {path} HTTP/1.1\r\nhost: mesh.example\r\nt-id: r{i}\r\nt-deadline: 2500\r\n\r\n"
        )
    });
    let mut tcp = TcpStream::connect(fleet.hosts[0].client)
        .await
        .expect("a connection");
    let requests: String = requests.collect();
    tcp.write_all(requests.as_bytes()).await.expect("open");
    tcp
}

/// Reads until the connection ends, or is idle for longer than a late answer takes.
async fn read(mut tcp: TcpStream) -> String {
    let mut got = Vec::new();
    while let Ok(Ok(1..)) = tokio::time::timeout(2 * SLOW, tcp.read_buf(&mut got)).await {}
    String::from_utf8_lossy(&got).into_owned()
}

/// Identifiers of the answers with status 200, in their order.
fn answered(text: &str) -> Vec<String> {
    let answers = text.split("HTTP/1.1 ").filter(|a| a.starts_with("200"));
    let ids = answers.filter_map(|a| super::header(a, "t-id"));
    ids.map(str::to_owned).collect()
}

#[tokio::test]
async fn safe_requests_pass_a_slow_one_and_others_wait_for_their_turn() {
    let fleet = fleet().await;
    let paths = ["/slow/x", "/safe/a", "/once/b", "/safe/c"];
    let tcp = send(&fleet, &paths).await;
    tokio::time::sleep(SETTLE).await;
    let runs: Vec<usize> = (0..4).map(|i| fleet.runs_of(&format!("r{i}"))).collect();
    assert_that!(runs, eq(&[1, 1, 0, 0]));
    assert_that!(answered(&read(tcp).await), eq(&["r0", "r1", "r2", "r3"]));
    let runs: Vec<usize> = (0..4).map(|i| fleet.runs_of(&format!("r{i}"))).collect();
    assert_that!(runs, eq(&[1, 1, 1, 1]));
    let metrics = fleet.get(fleet.hosts[0].metrics, "/metrics").await;
    let text = metrics.expect("an answer").2;
    assert_that!(
        text.as_str(),
        contains_substring("rhubarblanding_connections_ahead_total 1")
    );
}

#[tokio::test]
async fn stopping_node_answers_what_it_passed_on_and_leaves_the_rest_unread() {
    let fleet = fleet().await;
    let paths = ["/slow/x", "/safe/a", "/slow/y", "/once/b", "/safe/c"];
    let tcp = send(&fleet, &paths).await;
    tokio::time::sleep(SETTLE).await;
    fleet.stop(0);
    let text = read(tcp).await;
    assert_that!(answered(&text), eq(&["r0", "r1", "r2"]));
    assert_that!(text.matches("connection: close").count(), eq(1));
    assert_that!(fleet.runs_of("r3"), eq(0));
    assert_that!(fleet.runs_of("r4"), eq(0));
}

#[tokio::test]
async fn work_of_all_requests_is_cancelled_when_the_client_disconnects() {
    let fleet = fleet().await;
    for host in &fleet.hosts {
        host.target.set(Behaviour::Work);
    }
    let tcp = send(&fleet, &["/slow/x", "/safe/a", "/once/b"]).await;
    tokio::time::sleep(SETTLE).await;
    drop(tcp);
    tokio::time::sleep(2 * SETTLE).await;
    for host in &fleet.hosts[1..] {
        let closed = host.target.closed_while_working();
        assert_that!(closed, some(le(Duration::from_millis(600))));
    }
    assert_that!(fleet.runs_of("r2"), eq(0));
}
