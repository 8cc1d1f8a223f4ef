//! Errors of the client if the service violates the protocol.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use rhubarblanding_store::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Creates a client of a service that gives `answer` to every call and closes the connection.
async fn client_of(answer: &'static str) -> StoreClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    StoreClient::new(StoreSettings {
        addr,
        call_timeout: Duration::from_millis(300),
        ..StoreSettings::default()
    })
}

fn assert_errors(answer: &'static str, read: StoreError, write: StoreError) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let client = client_of(answer).await;
        let key = Key::from_static("key");
        let got = client.get(&key).await.expect_err("a failure");
        assert_that!(*got.current_context(), eq(read));
        let put = client.compare_and_swap(&key, Revision::ABSENT, "value".into());
        let put = put.await.expect_err("a failure");
        assert_that!(*put.current_context(), eq(write));
        let wait = Duration::from_millis(10);
        let watched = client.watch(&key, Revision::ABSENT, wait).await;
        let watched = watched.expect_err("a failure");
        assert_that!(*watched.current_context(), eq(read));
    });
}

use StoreError::{AnswerLost, InvalidAnswer, Unavailable};

rhubarblanding_core::cases! {
    assert_errors;
    empty_answer: ("", Unavailable, AnswerLost);
    not_http: ("hello\r\n\r\n", Unavailable, AnswerLost);
    truncated_head: ("HTTP/1.1 200 OK\r\nx-rev", Unavailable, AnswerLost);
    body_cut_short: ("HTTP/1.1 200 OK\r\nx-revision: 1\r\ncontent-length: 99\r\n\r\n{", Unavailable, AnswerLost);
    no_revision: ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", InvalidAnswer, AnswerLost);
    revision_is_no_number: ("HTTP/1.1 200 OK\r\nx-revision: one\r\ncontent-length: 3\r\n\r\none", InvalidAnswer, AnswerLost);
    revision_below_zero: ("HTTP/1.1 200 OK\r\nx-revision: -1\r\ncontent-length: 15\r\n\r\n{\"revision\":-1}", InvalidAnswer, AnswerLost);
    server_error: ("HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n", InvalidAnswer, AnswerLost);
    redirect: ("HTTP/1.1 302 Found\r\ncontent-length: 0\r\n\r\n", InvalidAnswer, AnswerLost);
    bad_request: ("HTTP/1.1 400 Bad\r\ncontent-length: 0\r\n\r\n", InvalidAnswer, InvalidAnswer);
    unavailable: ("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n", Unavailable, Unavailable);
    unterminated_head: (UNTERMINATED_HEAD, Unavailable, AnswerLost);
}

const UNTERMINATED_HEAD: &str = "HTTP/1.1 200 OK\r\nx-a: b\r\nx-a: b\r\nx-a: b\r\nx-a: b\r\nx-a: b";

/// Time within which an endless answer ends a call of 300 ms.
const ENDLESS_LIMIT: Duration = Duration::from_secs(1);

/// A service that sends `start`, then `unit` again and again until the connection is closed. Returns
/// the times after which the connections were closed.
async fn endless(
    start: &'static str,
    unit: &'static str,
) -> (StoreClient, tokio::sync::mpsc::UnboundedReceiver<Duration>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let (tx, rx) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        let units = unit.repeat(4096 / unit.len());
        while let Ok((mut stream, _)) = listener.accept().await {
            let began = Instant::now();
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf).await;
            let mut next = start.to_owned();
            while stream.write_all(next.as_bytes()).await.is_ok() {
                next.clone_from(&units);
            }
            let _ = tx.send(began.elapsed());
        }
    });
    let client = StoreClient::new(StoreSettings {
        addr,
        call_timeout: Duration::from_millis(300),
        ..StoreSettings::default()
    });
    (client, rx)
}

/// Bytes without end fail a call within its time limit, and its connection is closed.
fn endless_answer_fails(start: &'static str, unit: &'static str) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let (client, mut closed) = endless(start, unit).await;
        let began = Instant::now();
        let got = client.get(&Key::from_static("key")).await;
        assert_that!(got.is_err(), eq(true));
        assert_that!(began.elapsed(), lt(ENDLESS_LIMIT));
        let closed = tokio::time::timeout(ENDLESS_LIMIT, closed.recv()).await;
        assert_that!(closed, ok(some(lt(&ENDLESS_LIMIT))));
    });
}

rhubarblanding_core::cases! {
    endless_answer_fails;
    endless_headers: ("HTTP/1.1 200 OK\r\n", "a: b\r\n");
    endless_header_line: ("HTTP/1.1 200 OK\r\na: ", "bbbbbbbb");
    endless_interim_answers: ("", "HTTP/1.1 100 Continue\r\n\r\n");
    endless_body: ("HTTP/1.1 200 OK\r\nx-revision: 1\r\n\r\n", "bbbbbbbb");
    endless_chunks: ("HTTP/1.1 200 OK\r\nx-revision: 1\r\ntransfer-encoding: chunked\r\n\r\n", "8\r\nbbbbbbbb\r\n");
}
