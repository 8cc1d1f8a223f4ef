//! A listener whose connections can be shut down gracefully.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;

use super::Body;

/// Longest time that a client may take to send the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Greatest size of the head of a request over HTTP/1, in bytes.
const HEADER_BUFFER_BYTES: usize = 64 * 1024;
/// Greatest size of the header list of a request over HTTP/2, in bytes.
const HEADER_LIST_BYTES: u32 = 64 * 1024;
/// Greatest number of streams that a peer may open at a time on one connection.
const STREAMS_MAX: u32 = 8_192;
/// Flow control window of one stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Flow control window of one connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = (1 << 31) - 1;
/// Requests that a client may reset before they were taken: callers that leave cause many at once on
/// the connection between two nodes. Each takes some hundred bytes until it is taken.
const RESETS_PENDING_MAX: usize = 4_096;
/// Time between pings to the client of an HTTP/2 connection.
const PING_INTERVAL: Duration = Duration::from_secs(5);
/// Wait after a failed accept, which mostly means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Future of one answer.
pub type AnswerFuture = Pin<Box<dyn Future<Output = Response<Body>> + Send>>;

/// Handler of one face: takes a request with the address of its sender.
pub type Face = Arc<dyn Fn(Request<Incoming>, SocketAddr) -> AnswerFuture + Send + Sync>;

/// A bound listener.
#[derive(Debug)]
pub struct Listener {
    tcp: TcpListener,
}

impl Listener {
    /// Binds `addr`.
    ///
    /// # Errors
    ///
    /// Fails as the operating system's bind does, for example if the address is in use.
    pub async fn bind(addr: SocketAddr) -> std::io::Result<Self> {
        TcpListener::bind(addr).await.map(|tcp| Self { tcp })
    }

    /// Serves `face` until `stop` completes, then waits for every request in progress.
    pub async fn serve(self, face: Face, stop: impl Future<Output = ()>) {
        let server = builder();
        let graceful = GracefulShutdown::new();
        tokio::pin!(stop);
        loop {
            let accepted = tokio::select! {
                accepted = self.tcp.accept() => accepted,
                () = &mut stop => break,
            };
            let Ok((stream, addr)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // Without this, small answers wait for acknowledgements.
            let _ = stream.set_nodelay(true);
            let face = Arc::clone(&face);
            let service = service_fn(move |req| {
                let answer = face(req, addr);
                async move { Ok::<_, std::convert::Infallible>(answer.await) }
            });
            let connection = server.serve_connection_with_upgrades(TokioIo::new(stream), service);
            let connection = graceful.watch(connection.into_owned());
            tokio::spawn(async move {
                // A broken connection is the client's loss; its requests are dropped with it.
                let _ = connection.await;
            });
        }
        drop(self.tcp);
        graceful.shutdown().await;
    }
}

fn builder() -> auto::Builder<TokioExecutor> {
    let mut server = auto::Builder::new(TokioExecutor::new());
    server
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(HEADER_BUFFER_BYTES);
    server
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(STREAMS_MAX)
        .max_header_list_size(HEADER_LIST_BYTES)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_pending_accept_reset_streams(RESETS_PENDING_MAX)
        .keep_alive_interval(PING_INTERVAL);
    server
}
