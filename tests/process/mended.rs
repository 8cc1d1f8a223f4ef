//! Requests through backend servers that refuse, die, start again, are late or send to nobody.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use googletest::prelude::*;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rhubarblanding_core::collections::HashMap;
use rhubarblanding_core::target::TargetState;
use rhubarblanding_standins::answer::{DEFAULT_ANSWER_BYTES, whole};
use rhubarblanding_standins::backend::{Announcement, ControlChange};
use rhubarblanding_standins::headers;
use rhubarblanding_standins::http::{client, header_text, send_json};
use rhubarblanding_standins::load::{Report, Route};
use rhubarblanding_standins::process::{
    ClusterPlan, ClusterSettings, Host, ServiceSettings, wait_until,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::support::{
    Bench, READY, block_on, doubled, load, not_completed, run, runs_by_key, service, settings,
    start, start_plan,
};

/// Path at which the refusing backend server answers with success.
const WILLING_PATH: &str = "/ready";
/// Time that the refusing backend server works for a request.
const OWN_WORK: Duration = Duration::from_millis(20);
/// Time between two announcements of the refusing backend server.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time of the fault since the start of the load.
const FAULT: Duration = Duration::from_secs(2);
/// Time after a fault within which goodput must be back.
const RECOVERY: Duration = Duration::from_secs(2);
/// Share of the idempotent requests that must be completed after the recovery.
const RECOVERED_SHARE: f64 = 0.95;
/// Time after its announcement within which a serving target must get requests.
const SERVING_AGAIN: Duration = Duration::from_secs(3);
/// Downloads whose callers read nothing; more than the sixteen whose windows once filled one of
/// 4 MiB.
const STALLED: usize = 20;

/// Runs of each request by its identifier.
type RunCounts = Arc<Mutex<HashMap<String, u32>>>;

/// A backend server that works for each request and then passes on the refusal of a call.
struct RefusingBackend {
    runs: RunCounts,
}

impl RefusingBackend {
    /// Takes the place of the backend server of `host`.
    async fn replace(host: &mut Host) -> Self {
        host.server = None;
        let address = host.cfg.backend.listen;
        let listener = TcpListener::bind(address).await.unwrap();
        let runs = RunCounts::default();
        tokio::spawn(serve(listener, Arc::clone(&runs)));
        let local = host.cfg.node.unwrap().local;
        tokio::spawn(async move {
            loop {
                announce(local, address, TargetState::Serving).await;
                tokio::time::sleep(ANNOUNCE_INTERVAL).await;
            }
        });
        Self { runs }
    }

    fn runs_of(&self, request_id: &str) -> u32 {
        let runs = self.runs.lock().unwrap();
        runs.get(request_id).copied().unwrap_or_default()
    }
}

async fn serve(listener: TcpListener, runs: RunCounts) {
    while let Ok((stream, _)) = listener.accept().await {
        let runs = Arc::clone(&runs);
        let service = service_fn(move |req| refuse_after_work(Arc::clone(&runs), req));
        let builder = hyper::server::conn::http1::Builder::new();
        tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
    }
}

async fn refuse_after_work(
    runs: RunCounts,
    req: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Infallible> {
    let mut answer = Response::new(Full::default());
    if req.uri().path() == WILLING_PATH {
        return Ok(answer);
    }
    let id = header_text(req.headers(), headers::REQUEST_ID).unwrap_or("none");
    *runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
    tokio::time::sleep(OWN_WORK).await;
    *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let out = answer.headers_mut();
    out.insert(headers::ERROR, "overloaded".parse().unwrap());
    out.insert(headers::RUN_STATE, "not-run".parse().unwrap());
    out.insert(headers::RETRY_AFTER_MS, "10".parse().unwrap());
    Ok(answer)
}

/// Announces the backend server at `address` to the local face of its node.
async fn announce(local: SocketAddr, address: SocketAddr, state: TargetState) {
    let announcement = Announcement {
        address,
        slots: 16,
        state,
    };
    let client = client();
    let sent = send_json(&client, Method::POST, local, "/v1/announce", &announcement);
    let (status, _) = sent.await.unwrap();
    assert_that!(status, eq(StatusCode::OK));
}

/// One request that is sent by hand.
#[derive(Clone)]
struct Asked {
    method: Method,
    path: &'static str,
    request_id: &'static str,
    key: Option<String>,
    deadline: Duration,
}

impl Asked {
    fn keyed(path: &'static str, request_id: &'static str) -> Self {
        Self {
            method: Method::POST,
            path,
            request_id,
            key: Some(uuid::Uuid::now_v7().to_string()),
            deadline: Duration::from_secs(5),
        }
    }

    fn idempotent(path: &'static str, request_id: &'static str) -> Self {
        Self {
            method: Method::GET,
            key: None,
            ..Self::keyed(path, request_id)
        }
    }

    async fn send(&self, entry: SocketAddr) -> Response<Incoming> {
        let mut req = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{entry}{}", self.path))
            .header(headers::REQUEST_ID, self.request_id)
            .header(headers::DEADLINE_MS, self.deadline.as_millis() as u64);
        if let Some(key) = &self.key {
            req = req.header(headers::IDEMPOTENCY_KEY, key);
        }
        let req = req.body(Full::default()).unwrap();
        client().request(req).await.unwrap()
    }
}

fn a_passed_on_refusal_runs_once(ask: fn() -> Asked, sent: usize) {
    block_on(async {
        let mut bench = start(vec![service("turnos", &[])]).await;
        let mut backends = Vec::new();
        for host in &mut bench.cluster.hosts {
            backends.push(RefusingBackend::replace(host).await);
        }
        let cluster = &bench.cluster;
        cluster.wait_serving(WILLING_PATH, READY).await.unwrap();
        // A key that was minted before its home began would be refused.
        let asked = ask();
        let mut answers = Vec::new();
        for entry in cluster.entries().into_iter().cycle().take(sent) {
            answers.push(asked.send(entry).await);
        }
        let runs = backends.iter().map(|b| b.runs_of(asked.request_id));
        assert_that!(runs.sum::<u32>(), eq(1));
        for answer in answers {
            assert_that!(answer.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
            let run_state = header_text(answer.headers(), headers::RUN_STATE);
            assert_that!(run_state, not(some(eq("not-run"))));
        }
    });
}

rhubarblanding_core::cases! {
    a_passed_on_refusal_runs_once;
    a_passed_on_refusal_runs_once_for_a_repeated_key: (|| Asked::keyed("/turnos/book", "keyed"), 4);
    a_passed_on_refusal_is_not_sent_again: (|| Asked::idempotent("/turnos/stock", "read"), 1);
}

/// Share of the requests that arrived after `from` and were completed.
fn completed_share(report: &Report, from: Duration) -> f64 {
    let late = || report.outcomes.iter().filter(|o| o.arrived >= from);
    let completed = late().filter(|o| o.is_completed()).count();
    assert_that!(late().count(), gt(0));
    completed as f64 / late().count() as f64
}

/// Kills a backend server beside a live node and requires `share` of `kind` after the recovery.
fn goodput_is_back(kind: &str, share: f64) {
    block_on(async {
        // One target in each availability zone.
        let mut bench = start(vec![service("turnos", &[])]).await;
        let mut cfg = load(&bench, &[kind], 100.0, 14.0);
        cfg.route = Route::Nodes(vec![bench.cluster.entries()[0]]);
        cfg.timeout = Duration::from_secs(2);
        let started = Instant::now();
        let running = tokio::spawn(run(cfg));
        tokio::time::sleep(FAULT).await;
        bench.cluster.hosts[0].server = None;
        let recovered = started.elapsed() + RECOVERY;
        let report = running.await.unwrap();
        let completed = completed_share(&report, recovered);
        println!("failed attempts {:?}", report.failures());
        println!("completed after the recovery: {completed:.4}");
        println!("last failure: {:?}", not_completed(&report).last());
        assert_that!(doubled(&runs_by_key(&bench, "turnos").await), is_empty());
        assert_that!(completed, ge(share));
    });
}

rhubarblanding_core::cases! {
    goodput_is_back;
    goodput_of_reads_is_back_after_a_backend_server_is_killed:
        ("read=GET,turnos,/stock,1,1", RECOVERED_SHARE);
    goodput_of_writes_is_back_after_a_backend_server_is_killed:
        ("write=POST,turnos,/book,1,1", 1.0);
}

/// Two hosts in one availability zone, so that both get requests from either node.
async fn start_in_one_zone() -> Bench {
    let settings = ClusterSettings {
        zones: vec!["ros".try_into().unwrap()],
        ..settings(vec![service("turnos", &[])])
    };
    start_plan(ClusterPlan::new(&settings).unwrap()).await
}

/// Requests that have begun to run at the backend server of `host`.
async fn begun(host: &Host) -> u64 {
    host.backend().counters().await.unwrap().started
}

/// Lets the backend server say that it starts, while requests are in progress, and then serves.
async fn start_again(host: &Host) {
    let heartbeat = |on| ControlChange {
        announce: Some(on),
        ..ControlChange::default()
    };
    let local = host.cfg.node.unwrap().local;
    let address = host.cfg.backend.listen;
    host.backend().change(heartbeat(false)).await.unwrap();
    // A heartbeat on its way arrives before the next announcement.
    tokio::time::sleep(Duration::from_millis(200)).await;
    announce(local, address, TargetState::Starting).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let starting = begun(host).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_that!(begun(host).await, eq(starting));
    announce(local, address, TargetState::Serving).await;
    host.backend().change(heartbeat(true)).await.unwrap();
}

#[test]
fn a_target_that_was_called_while_starting_gets_requests_again() {
    block_on(async {
        let bench = start_in_one_zone().await;
        // The service time keeps requests in progress at every moment.
        let kinds = ["read=GET,turnos,/stock?ms=100,1,1"];
        let mut cfg = load(&bench, &kinds, 60.0, 9.0);
        cfg.route = Route::Nodes(vec![bench.cluster.entries()[0]]);
        let running = tokio::spawn(run(cfg));
        let host = &bench.cluster.hosts[1];
        let before_load = begun(host).await;
        tokio::time::sleep(FAULT).await;
        assert_that!(begun(host).await, gt(before_load));
        start_again(host).await;
        let serving = begun(host).await;
        wait_until(SERVING_AGAIN, "target gets requests again", async || {
            begun(host).await > serving
        })
        .await
        .unwrap();
        let report = running.await.unwrap();
        println!("failed attempts {:?}", report.failures());
    });
}

/// A keyed request that runs for longer than its deadline.
fn late() -> Asked {
    Asked {
        deadline: Duration::from_millis(700),
        ..Asked::keyed("/turnos/book?ms=2500", "load-late")
    }
}

#[test]
fn a_key_that_ran_past_its_deadline_keeps_its_answer() {
    block_on(async {
        let bench = start(vec![service("turnos", &[])]).await;
        let entries = bench.cluster.entries();
        let late = late();
        let sent = Instant::now();
        let answer = late.send(entries[0]).await;
        let waited = sent.elapsed();
        println!("answered after {waited:?}");
        let run_state = header_text(answer.headers(), headers::RUN_STATE);
        assert_that!(run_state, some(eq("unknown")));
        assert_that!(waited, ge(late.deadline - Duration::from_millis(50)));
        assert_that!(waited, le(late.deadline + Duration::from_millis(500)));
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        let repeat = Asked {
            deadline: Duration::from_secs(5),
            ..late
        };
        for entry in entries {
            let answer = repeat.send(entry).await;
            assert_that!(answer.status(), eq(StatusCode::OK));
            let body = answer.into_body().collect().await.unwrap().to_bytes();
            let expected = whole("load-late", "/book", DEFAULT_ANSWER_BYTES);
            assert_that!(body.to_vec(), eq(&expected));
        }
        let by_key = runs_by_key(&bench, "turnos").await;
        assert_that!(by_key.values().copied().collect::<Vec<_>>(), eq(&vec![1]));
    });
}

#[test]
fn a_key_that_runs_at_its_deadline_is_refused_as_deadline_exceeded() {
    block_on(async {
        let bench = start(vec![service("turnos", &[])]).await;
        let answer = late().send(bench.cluster.entries()[0]).await;
        let header = |name| header_text(answer.headers(), name);
        assert_that!(header(headers::RUN_STATE), some(eq("unknown")));
        assert_that!(header(headers::ERROR), some(eq("deadline_exceeded")));
    });
}

/// One host that sends archives, and one whose node the callers ask.
async fn start_archives() -> Bench {
    let one = |name| ServiceSettings {
        hosts: 1,
        ..service(name, &[])
    };
    let mut archives = one("archives");
    archives.backend.slots = 64;
    start(vec![archives, one("turnos")]).await
}

/// Asks for an archive and reads nothing of it.
async fn stalled_download(entry: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut stream = socket.connect(entry).await.unwrap();
    let head = "GET /archives/archive?bytes=16000000&ms=4000 HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

#[test]
fn stalled_downloads_hold_up_no_small_request() {
    block_on(async {
        let bench = start_archives().await;
        let entry = bench.cluster.entries()[1];
        let backend = bench.cluster.hosts[0].backend();
        let before = backend.counters().await.unwrap();
        let mut stalled = Vec::new();
        for _ in 0..STALLED {
            stalled.push(stalled_download(entry).await);
        }
        // Downloads that are read would be over by then.
        tokio::time::sleep(Duration::from_secs(6)).await;
        let during = backend.counters().await.unwrap();
        assert_that!(during.started - before.started, eq(STALLED as u64));
        assert_that!(during.completed, eq(before.completed));
        let mut cfg = load(&bench, &["read=GET,archives,/stock,1,1"], 50.0, 3.0);
        cfg.route = Route::Nodes(vec![entry]);
        cfg.timeout = Duration::from_secs(2);
        let report = run(cfg).await;
        println!("p99 {:.1} ms", report.kinds[0].p99_ms);
        assert_that!(not_completed(&report), is_empty());
        drop(stalled);
    });
}
