//! Many requests over one connection: each caller gets the answer of its own request.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_core::error::RunState;
use rhubarblanding_standins::answer;
use rhubarblanding_standins::headers;
use rhubarblanding_standins::http::{header_number, header_text};
use rhubarblanding_standins::relay::RelayChange;

use crate::support::{SEED, block_on};
use crate::whole_answers::{entry_and, start_behind_relay};

/// Requests over one connection at a time.
const CONCURRENT: usize = 200;

/// One of many requests over one connection.
#[derive(Clone, Copy, Debug)]
struct Numbered {
    number: usize,
    bytes: u64,
    /// Mean service time in milliseconds.
    service_ms: u64,
}

/// How the answer to a numbered request came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Came {
    Whole,
    Wrong,
    Failed,
}

type Requests = hyper::client::conn::http2::SendRequest<http_body_util::Full<bytes::Bytes>>;

async fn one_connection(entry: SocketAddr) -> Requests {
    let stream = tokio::net::TcpStream::connect(entry).await.unwrap();
    let io = hyper_util::rt::TokioIo::new(stream);
    let executor = hyper_util::rt::TokioExecutor::new();
    let (requests, conn) = hyper::client::conn::http2::handshake(executor, io)
        .await
        .unwrap();
    tokio::spawn(conn);
    requests
}

/// Requests with sizes and service times drawn from the seed.
fn numbered(count: usize) -> Vec<Numbered> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let draw = |number| Numbered {
        number,
        bytes: rng.random_range(0..60_000),
        service_ms: rng.random_range(1..250),
    };
    (0..count).map(draw).collect()
}

/// Sends a request and checks each byte of its answer. A request that was refused without having
/// run is sent again when the refusal says.
async fn send(requests: Requests, authority: SocketAddr, req: Numbered) -> (usize, Came) {
    loop {
        match attempt(requests.clone(), authority, req).await {
            Ok(came) => return (req.number, came),
            Err(ComeBack(pause)) => tokio::time::sleep(pause).await,
        }
    }
}

/// The request did not run; it may be sent again after the pause.
struct ComeBack(Duration);

async fn attempt(
    mut requests: Requests,
    authority: SocketAddr,
    req: Numbered,
) -> Result<Came, ComeBack> {
    let Numbered { bytes, number, .. } = req;
    let id = format!("numbered-{number}");
    let query = format!("bytes={bytes}&ms={}", req.service_ms);
    let chunked = ["", "&chunked=1"][number % 2];
    let http = http::Request::get(format!("http://{authority}/turnos/stock?{query}{chunked}"))
        .header("x-request-id", &id)
        .body(http_body_util::Full::default())
        .unwrap();
    let Ok(resp) = requests.send_request(http).await else {
        return Ok(Came::Failed);
    };
    if let Some(pause) = not_run(resp.headers()) {
        println!("{id} is refused for {pause:?}");
        return Err(ComeBack(pause));
    }
    if resp.status() != http::StatusCode::OK {
        return Ok(Came::Failed);
    }
    let Ok(body) = http_body_util::BodyExt::collect(resp.into_body()).await else {
        return Ok(Came::Failed);
    };
    let whole = body.to_bytes() == answer::whole(&id, "/stock", bytes);
    Ok(if whole { Came::Whole } else { Came::Wrong })
}

/// Pause that a refusal of a request that did not run asks for.
fn not_run(map: &http::HeaderMap) -> Option<Duration> {
    let state: RunState = header_text(map, headers::RUN_STATE)?.parse().ok()?;
    let pause = header_number(map, headers::RETRY_AFTER_MS)?;
    (state == RunState::NotRun).then(|| Duration::from_millis(pause))
}

/// Answers in the order in which they came; each second caller of `impatient` goes away early.
async fn answers_over_one_connection(entry: SocketAddr, impatient: bool) -> Vec<(usize, Came)> {
    let requests = one_connection(entry).await;
    let mut tasks = tokio::task::JoinSet::new();
    for req in numbered(CONCURRENT) {
        let patience = match impatient && req.number.is_multiple_of(2) {
            true => Duration::from_millis(req.service_ms),
            false => Duration::from_secs(20),
        };
        let answer = send(requests.clone(), entry, req);
        tasks.spawn(async move {
            let answer = tokio::time::timeout(patience, answer).await;
            answer.unwrap_or((req.number, Came::Failed))
        });
    }
    let mut answers = Vec::new();
    while let Some(answer) = tasks.join_next().await {
        answers.push(answer.unwrap());
    }
    answers
}

fn each_gets_its_own_answer(impatient: bool) {
    block_on(async {
        let (bench, relay) = start_behind_relay(entry_and("turnos")).await;
        relay.change(RelayChange {
            delay_ms: Some(20),
            ..RelayChange::default()
        });
        let answers = answers_over_one_connection(bench.cluster.entries()[0], impatient).await;
        let count = |came| answers.iter().filter(|answer| answer.1 == came).count();
        let overtaken = answers.windows(2).filter(|pair| pair[0].0 > pair[1].0);
        let overtaken = overtaken.count();
        let (whole, wrong, failed) = (count(Came::Whole), count(Came::Wrong), count(Came::Failed));
        println!("whole {whole}, wrong {wrong}, failed {failed}, overtaken {overtaken}");
        assert_that!(wrong, eq(0));
        assert_that!(overtaken, gt(CONCURRENT / 4));
        match impatient {
            true => assert_that!(whole, all![ge(CONCURRENT / 2), lt(CONCURRENT)]),
            false => assert_that!(whole, eq(CONCURRENT)),
        }
    });
}

rhubarblanding_core::cases! {
    each_gets_its_own_answer;
    answers_out_of_order_over_one_connection: (false);
    late_answers_to_callers_that_have_gone: (true);
}
