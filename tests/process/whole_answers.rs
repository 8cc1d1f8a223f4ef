//! Every caller gets the whole answer of its own request, or an error.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_core::error::RunState;
use rhubarblanding_standins::answer::{self, DEFAULT_ANSWER_BYTES};
use rhubarblanding_standins::backend::LoadAnswer;
use rhubarblanding_standins::http::{client, get_json};
use rhubarblanding_standins::load::{Caller, Ending, Identity, Outcome, Refused, Report, Route};
use rhubarblanding_standins::process::{
    ClusterPlan, Host, ServiceSettings, Signal, free_addresses, wait_until,
};
use rhubarblanding_standins::relay::{Relay, RelayChange, RelaySettings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::support::{
    Bench, block_on, doubled, load, not_completed, run, runs_by_key, service, settings, start,
    start_plan,
};

/// Time in which the work of a caller that has gone is cancelled.
const CANCELLED: Duration = Duration::from_secs(2);
/// Calls of a backend server, made one after the other.
const CALLS: usize = 20;
/// Downloads of known and of unknown length, longer than the time until the fault.
const DOWNLOADS: [&str; 3] = [
    "sized=GET,archives,/archive?bytes=400000&ms=1500,1,1",
    "chunked=GET,archives,/archive/chunked?bytes=400000&ms=1500&chunked=1,1,1",
    "keyed=POST,archives,/archive/keyed?bytes=400000&ms=1500,1,1",
];

/// A service whose backend servers have many slots.
fn roomy(name: &str) -> ServiceSettings {
    let mut service = service(name, &[]);
    service.backend.slots = 128;
    service
}

/// A host that callers enter by, and the only target of `name` on the second host.
pub fn entry_and(name: &str) -> Vec<ServiceSettings> {
    let mut services = vec![service("recepcion", &[]), roomy(name)];
    services.iter_mut().for_each(|service| service.hosts = 1);
    services
}

/// Connections to the peer face of the second host go through a relay.
pub async fn start_behind_relay(services: Vec<ServiceSettings>) -> (Bench, Relay) {
    let mut plan = ClusterPlan::new(&settings(services)).unwrap();
    let cfg = RelaySettings {
        listen: free_addresses(1).unwrap()[0],
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

/// Number of requests whose last attempt ended with `reason`.
fn ended_with(report: &Report, reason: &str) -> usize {
    let last = report.outcomes.iter().filter_map(|o| o.attempts.last());
    last.filter(|attempt| attempt.ending.reason() == reason)
        .count()
}

/// Endings by reason, for the reader of the test's output.
fn print(report: &Report) {
    let offered = report.outcomes.len();
    let (completed, failures) = (report.completed(), report.failures());
    println!("completed {completed} of {offered}, failed attempts {failures:?}");
}

/// Loads one kind with one attempt for each request.
async fn load_once(bench: &Bench, kind: &str, rate: f64, seconds: f64) -> Report {
    let mut cfg = load(bench, &[kind], rate, seconds);
    cfg.tries = 1;
    let report = run(cfg).await;
    print(&report);
    report
}

fn a_cut_answer_is_no_whole_one(kind: &str) {
    block_on(async {
        let bench = start(vec![service("turnos", &[])]).await;
        let report = load_once(&bench, kind, 50.0, 2.0).await;
        assert_that!(report.outcomes.len(), gt(0));
        assert_that!(report.completed(), eq(0));
        assert_that!(report.wrong_answers(), eq(0));
        assert_that!(ended_with(&report, "timeout"), eq(0));
        let not_run = report.outcomes.iter().filter(|o| o.is_not_run());
        assert_that!(not_run.count(), eq(0));
        // The connections to the backend servers are usable again.
        let report = load_once(&bench, "read=GET,turnos,/stock?bytes=5000,1,1", 50.0, 1.0).await;
        assert_that!(not_completed(&report), is_empty());
    });
}

rhubarblanding_core::cases! {
    a_cut_answer_is_no_whole_one;
    cut_answer_of_known_length: ("read=GET,turnos,/stock?bytes=100000&cut=40000,1,1");
    cut_answer_in_chunks: ("read=GET,turnos,/stock?bytes=100000&cut=40000&chunked=1,1,1");
    cut_answer_before_the_first_byte: ("read=GET,turnos,/stock?bytes=100000&cut=0,1,1");
    cut_answer_before_the_last_byte: ("read=GET,turnos,/stock?bytes=100000&cut=99999,1,1");
    cut_answer_that_would_be_kept: ("write=POST,turnos,/book?bytes=8000&cut=3000,1,1");
    cut_answer_that_would_be_kept_in_chunks:
        ("write=POST,turnos,/book?bytes=8000&cut=3000&chunked=1,1,1");
    cut_answer_too_large_to_keep: ("write=POST,turnos,/book?bytes=200000&cut=100000,1,1");
    cut_answer_too_large_to_keep_in_chunks:
        ("write=POST,turnos,/book?bytes=200000&cut=100000&chunked=1,1,1");
}

#[test]
fn the_check_notices_a_short_answer_with_a_clean_end() {
    block_on(async {
        let bench = start(vec![service("turnos", &[])]).await;
        let kind = "read=GET,turnos,/stock?bytes=5000&short=4999,1,1";
        let report = load_once(&bench, kind, 50.0, 0.5).await;
        assert_that!(report.wrong_answers(), eq(report.outcomes.len() as u64));
    });
}

/// What breaks while answers are under way.
#[derive(Clone, Copy)]
enum Fault {
    /// The backend server of the second host is killed.
    Backend,
    /// The node of the second host is killed.
    TargetNode,
    /// The node of the second host is paused for good.
    TargetNodePaused,
    /// The connections between the nodes are closed.
    PeerConnection,
    /// The connections between the nodes go silent.
    PeerSilence,
}

fn break_off(bench: &mut Bench, relay: &Relay, fault: Fault) {
    let host = &mut bench.cluster.hosts[1];
    match fault {
        Fault::Backend => host.server = None,
        Fault::TargetNode => host.node = None,
        Fault::TargetNodePaused => host.node.as_ref().unwrap().signal(Signal::Stop).unwrap(),
        Fault::PeerSilence => assert_that!(relay.freeze(), gt(0)),
        Fault::PeerConnection => relay.change(RelayChange {
            cut: true,
            ..RelayChange::default()
        }),
    }
}

fn downloads_end_whole_or_broken(fault: Fault) {
    block_on(async {
        let (mut bench, relay) = start_behind_relay(entry_and("archives")).await;
        let mut cfg = load(&bench, &DOWNLOADS, 40.0, 2.0);
        cfg.route = Route::Nodes(vec![bench.cluster.entries()[0]]);
        cfg.tries = 1;
        let running = tokio::spawn(run(cfg));
        tokio::time::sleep(Duration::from_secs(2)).await;
        break_off(&mut bench, &relay, fault);
        let report = running.await.unwrap();
        print(&report);
        assert_that!(report.wrong_answers(), eq(0));
        assert_that!(ended_with(&report, "timeout"), eq(0));
        for kind in &report.kinds {
            let broken = kind.failures.get("connection").copied();
            println!("{}: {} of {}", kind.name, kind.completed, kind.offered);
            assert_that!(kind.completed, gt(0));
            assert_that!(broken, some(gt(0)));
        }
    });
}

rhubarblanding_core::cases! {
    downloads_end_whole_or_broken;
    downloads_when_a_backend_server_is_killed: (Fault::Backend);
    downloads_when_the_node_of_the_target_is_killed: (Fault::TargetNode);
    downloads_when_the_node_of_the_target_pauses: (Fault::TargetNodePaused);
    downloads_when_the_peer_connection_is_cut: (Fault::PeerConnection);
    downloads_when_the_peer_connection_goes_silent: (Fault::PeerSilence);
}

fn shape_is_passed_on_whole(kinds: &[&str], rate: f64) {
    block_on(async {
        let bench = start(vec![service("turnos", &[])]).await;
        let mut cfg = load(&bench, kinds, rate, 2.0);
        cfg.tries = 1;
        let report = run(cfg).await;
        print(&report);
        assert_that!(not_completed(&report), is_empty());
    });
}

rhubarblanding_core::cases! {
    shape_is_passed_on_whole;
    empty_answers: (
        &["read=GET,turnos,/stock?bytes=0,1,1", "write=POST,turnos,/book?bytes=0,1,1"], 50.0);
    empty_answers_in_chunks: (
        &["read=GET,turnos,/stock?bytes=0&chunked=1,1,1",
          "write=POST,turnos,/book?bytes=0&chunked=1,1,1"], 50.0);
    large_answers: (
        &["read=GET,turnos,/stock?bytes=8000000,1,1",
          "write=POST,turnos,/book?bytes=8000000&chunked=1,1,1"], 4.0);
    answers_around_the_greatest_that_is_kept: (
        &["below=POST,turnos,/book?bytes=16383,1,1", "at=POST,turnos,/book?bytes=16384,1,1",
          "above=POST,turnos,/book?bytes=16385,1,1"], 50.0);
}

/// Sends a request through the first node and returns status, length field and body.
async fn exchange(
    bench: &Bench,
    method: http::Method,
    path: &str,
) -> (u16, Option<String>, Vec<u8>) {
    let entry = bench.cluster.entries()[0];
    let req = http::Request::builder()
        .method(method)
        .uri(format!("http://{entry}{path}"))
        .header("x-request-id", "shape-1")
        .body(http_body_util::Full::default())
        .unwrap();
    let resp = client().request(req).await.unwrap();
    let length = resp.headers().get(http::header::CONTENT_LENGTH);
    let length = length.map(|value| value.to_str().unwrap().to_owned());
    let status = resp.status().as_u16();
    let body = http_body_util::BodyExt::collect(resp.into_body()).await;
    (status, length, body.unwrap().to_bytes().to_vec())
}

#[test]
fn the_answer_to_head_has_the_length_and_no_body() {
    block_on(async {
        let bench = start(vec![service("turnos", &[])]).await;
        let path = "/turnos/stock?bytes=5000";
        let (status, length, body) = exchange(&bench, http::Method::HEAD, path).await;
        assert_that!(status, eq(200));
        assert_that!(length.as_deref(), some(eq("5000")));
        assert_that!(body, is_empty());
    });
}

#[test]
fn an_answer_without_content_is_passed_on() {
    block_on(async {
        let bench = start(vec![service("turnos", &[])]).await;
        for method in [http::Method::GET, http::Method::POST, http::Method::DELETE] {
            let path = "/turnos/stock?bytes=0&status=204";
            let (status, length, body) = exchange(&bench, method, path).await;
            assert_that!(status, eq(204));
            assert_that!(length, none());
            assert_that!(body, is_empty());
        }
    });
}

/// Identity of a request that is repeated.
fn identity(outcome: &Outcome) -> Identity {
    Identity {
        request_id: outcome.request_id.clone(),
        idempotency_key: outcome.idempotency_key.clone(),
    }
}

#[test]
fn an_answer_too_large_to_keep_comes_whole_once() {
    block_on(async {
        let bench = start(vec![service("turnos", &[])]).await;
        let kind = "write=POST,turnos,/book?bytes=200000,1,1";
        let mut cfg = load(&bench, &[kind], 20.0, 1.0);
        cfg.tries = 1;
        let report = run(cfg.clone()).await;
        print(&report);
        assert_that!(not_completed(&report), is_empty());
        let not_kept = Ending::Refused(Refused {
            status: 409,
            error: "answer_not_kept".to_owned(),
            run_state: Some(RunState::Ran),
        });
        let caller = Caller::new();
        for outcome in &report.outcomes {
            for _ in bench.cluster.entries() {
                let repeats = caller.call(&cfg, &cfg.kinds[0], &identity(outcome)).await;
                assert_that!(repeats[0].ending, eq(&not_kept));
            }
        }
        assert_that!(doubled(&runs_by_key(&bench, "turnos").await), is_empty());
    });
}

async fn inside(host: &Host) -> u32 {
    let client = client();
    let answer = get_json::<LoadAnswer>(&client, host.cfg.backend.listen, "/load").await;
    answer.unwrap().inside
}

fn work_of_a_gone_caller_is_cancelled(kind: &str) {
    block_on(async {
        let mut services = entry_and("archives");
        services[1].backend.slots = 4;
        let bench = start(services).await;
        let mut cfg = load(&bench, &[kind], 200.0, 0.1);
        cfg.route = Route::Nodes(vec![bench.cluster.entries()[0]]);
        cfg.tries = 1;
        cfg.timeout = Duration::from_secs(1);
        cfg.kinds[0].deadline = Some(Duration::from_secs(60));
        let report = run(cfg).await;
        print(&report);
        let gone = ended_with(&report, "timeout") as u64;
        assert_that!(gone, gt(0));
        wait_until(CANCELLED, "all work is cancelled", async || {
            let mut left = 0;
            for host in &bench.cluster.hosts {
                left += inside(host).await;
            }
            left == 0
        })
        .await
        .unwrap();
        let (mut unfinished, mut cancelled) = (0, 0);
        for host in &bench.cluster.hosts {
            let counters = host.backend().counters().await.unwrap();
            unfinished += counters.started - counters.completed;
            cancelled += counters.cancelled;
        }
        println!("gone {gone}, unfinished {unfinished}, cancelled {cancelled}");
        assert_that!(cancelled, all![gt(0), le(gone), eq(unfinished)]);
        // Nobody but the callers ended a request early: their deadline was far off.
        assert_that!(ended_with(&report, "deadline_exceeded"), eq(0));
        // All slots of the nodes are free again.
        let kind = "read=GET,archives,/stock,1,1";
        let report = load_once(&bench, kind, 50.0, 1.0).await;
        assert_that!(not_completed(&report), is_empty());
    });
}

rhubarblanding_core::cases! {
    work_of_a_gone_caller_is_cancelled;
    gone_caller_of_a_download: ("archive=GET,archives,/archive?bytes=4000000&ms=20000,1,1");
    gone_caller_of_chunks: ("archive=GET,archives,/archive?bytes=4000000&ms=20000&chunked=1,1,1");
    gone_caller_of_a_read: ("read=GET,archives,/stock?ms=20000,1,1");
    gone_caller_of_a_keyed_answer_too_large_to_keep:
        ("write=POST,archives,/archive?bytes=4000000&ms=20000,1,1");
}

/// Backend server that sends more bytes than the length that it names.
async fn serve_excess(listener: tokio::net::TcpListener) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::spawn(answer_with_excess(stream));
    }
}

async fn answer_with_excess(mut stream: tokio::net::TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while stream.read(&mut byte).await.is_ok_and(|count| count > 0) {
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        if stream.write_all(&own_and_foreign(&head)).await.is_err() {
            return;
        }
        head.clear();
    }
}

/// The answer to the request with this head, and after it one that nobody asked for.
fn own_and_foreign(head: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(head).into_owned();
    let field = |name: &str| {
        let mut lines = text.lines().filter_map(|line| line.split_once(": "));
        lines.find_map(|(key, value)| key.eq_ignore_ascii_case(name).then(|| value.to_owned()))
    };
    let path = text.split(' ').nth(1).unwrap_or_default();
    let id = field("x-request-id").unwrap_or_default();
    let mut bytes = with_length(&answer::whole(&id, path, DEFAULT_ANSWER_BYTES));
    if path != "/probe" {
        bytes.extend(with_length(b"an answer that belongs to nobody"));
    }
    bytes
}

fn with_length(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Bytes after the end of an answer are no answer to the next request.
#[test]
fn bytes_beyond_the_length_are_nobodys_answer() {
    block_on(async {
        let mut plan = ClusterPlan::new(&settings(vec![service("turnos", &[])])).unwrap();
        for host in &mut plan.hosts {
            let listen = free_addresses(1).unwrap()[0];
            host.backend_via = Some(listen);
            let listener = tokio::net::TcpListener::bind(listen).await.unwrap();
            tokio::spawn(serve_excess(listener));
        }
        let bench = start_plan(plan).await;
        let report = load_once(&bench, "read=GET,turnos,/stock,1,1", 200.0, 3.0).await;
        assert_that!(report.wrong_answers(), eq(0));
        assert_that!(report.completed(), gt(0));
    });
}

/// A caller that knows no chunks is told the end by the close of its connection.
#[test]
fn a_cut_answer_in_chunks_has_no_clean_end_over_http_1_0() {
    block_on(async {
        let bench = start(vec![service("turnos", &[])]).await;
        let entry = bench.cluster.entries()[0];
        let mut stream = tokio::net::TcpStream::connect(entry).await.unwrap();
        let path = "/turnos/stock?bytes=100000&cut=40000&chunked=1";
        let head = format!("GET {path} HTTP/1.0\r\nhost: x\r\nx-request-id: old-1\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut bytes = Vec::new();
        let ended = stream.read_to_end(&mut bytes).await;
        println!("{} bytes, {ended:?}", bytes.len());
        let refused = bytes.starts_with(b"HTTP/1.0 50");
        assert_that!(ended.is_err() || refused, eq(true));
    });
}

#[test]
fn the_work_of_a_gone_caller_with_a_key_is_kept_for_its_repeat() {
    block_on(async {
        let bench = start(entry_and("archives")).await;
        let kind = "write=POST,archives,/book?ms=1500,1,1";
        let mut cfg = load(&bench, &[kind], 100.0, 0.2);
        cfg.tries = 1;
        cfg.timeout = Duration::from_millis(300);
        let report = run(cfg.clone()).await;
        print(&report);
        assert_that!(ended_with(&report, "timeout"), eq(report.outcomes.len()));
        tokio::time::sleep(Duration::from_secs(4)).await;
        let backend = bench.cluster.hosts[1].backend();
        assert_that!(backend.counters().await.unwrap().cancelled, eq(0));
        for outcome in &report.outcomes {
            let repeats = Caller::new()
                .call(&cfg, &cfg.kinds[0], &identity(outcome))
                .await;
            assert_that!(repeats[0].ending, eq(&Ending::Completed));
        }
        assert_that!(doubled(&runs_by_key(&bench, "archives").await), is_empty());
    });
}

/// Body that a backend server gets for a call through the node on its host, if it came to an end.
async fn call_through(local: SocketAddr, number: usize, query: &str) -> Option<bytes::Bytes> {
    let req = http::Request::get(format!("http://{local}/call/turnos/stock?{query}"))
        .header("x-request-id", format!("call-{number}"))
        .body(http_body_util::Full::default())
        .unwrap();
    let resp = client().request(req).await.ok()?;
    let body = http_body_util::BodyExt::collect(resp.into_body()).await;
    body.ok().map(http_body_util::Collected::to_bytes)
}

fn a_cut_answer_to_a_call_is_no_whole_one(query: &str) {
    block_on(async {
        let bench = start(vec![service("turnos", &[])]).await;
        let local = bench.cluster.hosts[0].cfg.node.unwrap().local;
        for number in 0..CALLS {
            let whole = call_through(local, number, "bytes=100000").await;
            let expected = answer::whole(&format!("call-{number}"), "/stock", 100_000);
            assert_that!(whole.is_some_and(|body| body == expected), eq(true));
            let cut = call_through(local, number, query).await;
            assert_that!(cut.map(|body| body.len()), none());
        }
    });
}

rhubarblanding_core::cases! {
    a_cut_answer_to_a_call_is_no_whole_one;
    cut_answer_to_a_call_of_known_length: ("bytes=100000&cut=40000");
    cut_answer_to_a_call_in_chunks: ("bytes=100000&cut=40000&chunked=1");
}
