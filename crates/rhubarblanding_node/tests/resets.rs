//! Callers that leave reset requests that the node has not taken yet. Others on the same connection
//! are served on.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http::{Request, Response};
use http_body_util::Empty;
use hyper::client::conn::http2::{SendRequest, handshake};
use hyper_util::rt::{TokioExecutor, TokioIo};
use rhubarblanding_node::connection::{Body, Face, Listener};
use rhubarblanding_standins::process::free_addresses;

/// Time for which the server takes nothing.
const BUSY: Duration = Duration::from_millis(400);
/// Requests that are reset meanwhile.
const RESETS: usize = 200;

/// A server on a thread of its own, which the path `/busy` keeps from taking requests.
fn start_server() -> SocketAddr {
    let addr = free_addresses(1).expect("a free port")[0];
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(async move {
            let listener = Listener::bind(addr).await.expect("a free port");
            tx.send(()).expect("the test waits");
            let face: Face = Arc::new(|req, _| {
                if req.uri().path() == "/busy" {
                    std::thread::sleep(BUSY);
                }
                Box::pin(async { Response::new(Body::default()) })
            });
            listener.serve(face, std::future::pending()).await;
        });
    });
    rx.recv().expect("the server starts");
    addr
}

async fn connect(addr: SocketAddr) -> SendRequest<Empty<Bytes>> {
    let stream = tokio::net::TcpStream::connect(addr)
        .await
        .expect("a connection");
    let (sender, conn) = handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .expect("a handshake");
    tokio::spawn(conn);
    sender
}

async fn get(mut sender: SendRequest<Empty<Bytes>>, path: &str) -> bool {
    let req = Request::get(format!("http://node{path}")).body(Empty::new());
    sender
        .send_request(req.expect("a request"))
        .await
        .is_ok_and(|resp| resp.status().is_success())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_reset_before_they_are_taken_do_not_end_the_connection() {
    let sender = connect(start_server()).await;
    assert_that!(get(sender.clone(), "/first").await, eq(true));
    let busy = tokio::spawn(get(sender.clone(), "/busy"));
    tokio::time::sleep(BUSY / 4).await;
    let leaving: Vec<_> = (0..RESETS)
        .map(|_| tokio::spawn(get(sender.clone(), "/left")))
        .collect();
    tokio::time::sleep(BUSY / 4).await;
    leaving.iter().for_each(tokio::task::JoinHandle::abort);
    assert_that!(busy.await.expect("no panic"), eq(true));
    assert_that!(get(sender, "/after").await, eq(true));
}
