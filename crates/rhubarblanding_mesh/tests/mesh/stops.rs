//! Planned stops: what a stopping node owes to the requests that it has read.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use super::fleet::{Answer, Fleet, HostOptions};
use super::protocol::configuration_text;
use super::target::{Behaviour, DOWNLOAD_BYTES, header};
use super::{ROUTES, set_all};

/// Grace period of the nodes, shorter than the deadlines of the requests.
const GRACE: Duration = Duration::from_millis(1_500);
/// Requests that occupy all slots of two targets.
const OCCUPYING: usize = 14;
/// Requests that wait for a slot.
const WAITING: usize = 8;
/// Time for requests to reach the place where they wait.
const ARRIVAL: Duration = Duration::from_millis(300);

async fn fleet() -> Fleet {
    let options = HostOptions {
        grace_period: GRACE,
        ..HostOptions::default()
    };
    let services = ["egresos", "egresos", "turnos", "turnos"];
    Fleet::with_options(&services, options, &configuration_text(1, ROUTES)).await
}

/// Sends `count` requests to the node of `entry`; returns their answers and when they came.
async fn send(
    fleet: &Fleet,
    entry: usize,
    (name, count): (&str, usize),
    deadline_ms: &str,
) -> Vec<(Answer, Instant)> {
    let requests = (0..count).map(|i| async move {
        let id = format!("{name}{i}");
        let sent = fleet.request_within(entry, "/once/x", (&id, deadline_ms), &[]);
        (sent.await, Instant::now())
    });
    join_all(requests).await
}

/// All slots are taken by requests of another node when requests of `entry` wait for one. Stops
/// the node of `stopping`: each waiting request must be refused, and must not run. Returns the time
/// from the stop to the last refusal.
async fn waiting_requests_are_refused(entry: usize, stopping: usize) -> Duration {
    let fleet = fleet().await;
    set_all(&fleet, Behaviour::Work);
    let stop = fleet.stop_after(stopping, ARRIVAL * 2);
    let began = Instant::now();
    let waiting = async {
        tokio::time::sleep(ARRIVAL).await;
        send(&fleet, entry, ("waits", WAITING), "1900").await
    };
    let occupying = send(&fleet, 1, ("long", OCCUPYING), "2500");
    let (_, answers, ()) = tokio::join!(occupying, waiting, stop);
    for (i, (answer, _)) in answers.iter().enumerate() {
        let (status, ..) = answer
            .as_ref()
            .expect("an answer before the end of the connection");
        assert_that!(status.as_u16(), eq(503));
        assert_that!(fleet.runs_of(&format!("waits{i}")), eq(0));
    }
    let last = answers.iter().map(|(_, at)| *at).max();
    last.expect("answers").duration_since(began + ARRIVAL * 2)
}

/// Requests that a stopping node had read, and that waited for a slot beside other nodes, ended
/// without an answer (LOST).
#[tokio::test]
async fn requests_that_wait_at_other_nodes_are_refused_before_their_node_ends() {
    let took = waiting_requests_are_refused(0, 0).await;
    assert_that!(took, lt(GRACE));
}

/// Requests that waited beside a stopping node were lost with it, though they had not run, and
/// their clients were told that they might have.
#[tokio::test]
async fn requests_that_wait_beside_a_stopping_node_are_not_lost_with_it() {
    waiting_requests_are_refused(0, 2).await;
}

/// A call that a stopping node took late was passed on with more time than the node had, and cut
/// while its target worked (LOST).
#[tokio::test]
async fn late_calls_get_no_more_time_than_their_node_has() {
    let options = HostOptions {
        grace_period: GRACE,
        ..HostOptions::default()
    };
    let routes = [("/once/", "turnos", false), ("/call/", "egresos", true)];
    let configuration = configuration_text(1, &routes);
    let fleet = Fleet::with_options(&["egresos", "turnos"], options, &configuration).await;
    set_all(&fleet, Behaviour::Work);
    let stop = fleet.stop_after(1, ARRIVAL);
    let call = async {
        tokio::time::sleep(ARRIVAL + GRACE * 2 / 3).await;
        let answer = fleet.request(1, "/call/x", "r1.1").await;
        answer.expect("an answer before the end of the connection")
    };
    let running = fleet.request(0, "/once/x", "r1");
    let (_, (status, ..), ()) = tokio::join!(running, call, stop);
    assert_that!(status.as_u16(), any![eq(502), eq(504)]);
    let head = fleet.heads_of("r1.1").pop().expect("a run");
    let left: Option<u64> = header(&head, "t-deadline").and_then(|value| value.parse().ok());
    assert_that!(left, some(lt((GRACE / 3).as_millis() as u64)));
}

/// Time over which a client reads a download evenly: longer than a node without open requests
/// takes to stop.
const READING_TIME: Duration = Duration::from_millis(4_000);

/// Opens a connection whose receive buffer is small, as that of a slow reader.
async fn connect(addr: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(64 * 1024).expect("a buffer");
    socket.connect(addr).await.expect("a connection")
}

/// Reads the answer to a download evenly over `time`; returns the bytes of head and body.
async fn read_evenly(tcp: &mut TcpStream, time: Duration) -> usize {
    let (began, mut got) = (Instant::now(), 0);
    let mut buf = vec![0; 64 * 1024];
    // A reset is an end as well.
    while let Ok(n @ 1..) = tcp.read(&mut buf).await {
        got += n;
        let due = time.mul_f64(got as f64 / DOWNLOAD_BYTES as f64);
        tokio::time::sleep(due.saturating_sub(began.elapsed())).await;
        if got >= DOWNLOAD_BYTES {
            break;
        }
    }
    got
}

/// Stops host `stopping` while a client of host 0 reads a download.
async fn download_ends_whole_while_a_node_stops(stopping: usize) {
    let options = HostOptions {
        grace_period: READING_TIME + Duration::from_secs(1),
        ..HostOptions::default()
    };
    let configuration = configuration_text(1, &[("/slow/", "turnos", true)]);
    let fleet = Fleet::with_options(&["egresos", "turnos"], options, &configuration).await;
    set_all(&fleet, Behaviour::Download);
    let mut tcp = connect(fleet.hosts[0].client).await;
    let head = "GET /slow/x HTTP/1.1\r\nhost: mesh.example\r\nt-id: r1\r\n\r\n";
    tcp.write_all(head.as_bytes()).await.expect("open");
    let stop = fleet.stop_after(stopping, Duration::from_millis(50));
    let (got, ()) = tokio::join!(read_evenly(&mut tcp, READING_TIME), stop);
    assert_that!(got, ge(DOWNLOAD_BYTES));
}

/// A streamed answer did not count as open: its node ended in the middle of it (LOST).
#[tokio::test]
async fn download_ends_whole_while_its_entry_node_stops() {
    download_ends_whole_while_a_node_stops(0).await;
}

/// The same at the node beside the target, which passes the answer on.
#[tokio::test]
async fn download_ends_whole_while_the_node_beside_its_target_stops() {
    download_ends_whole_while_a_node_stops(1).await;
}
