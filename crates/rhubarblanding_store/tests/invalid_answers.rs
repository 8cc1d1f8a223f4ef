//! Errors of the client if the service violates the protocol.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::time::Duration;

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
