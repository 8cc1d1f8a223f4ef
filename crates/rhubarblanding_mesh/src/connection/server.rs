//! Servers for clients (HTTP/1.1) and for other nodes (HTTP/2).

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::ahead::{self, AheadCounters, RequestBody};
use super::{Payload, socket};
use rhubarblanding_node::process::parking::{Mutex, lock};

/// Pause after a failed accept, whose usual cause is a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that may wait to be accepted: many clients reconnect at once after a fault.
const BACKLOG: i32 = 1_024;
/// Maximum number of requests that a node may have open on one connection.
const STREAMS_MAX: u32 = 8_192;
/// Flow control window of one request, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Flow control window of one connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;
/// Requests that a node may reset before they are accepted: callers that disconnect cause many at
/// once.
const RESETS_PENDING_MAX: usize = 4_096;

/// Future of one answer.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response<Payload>> + Send>>;

/// Request handler of a server for clients; its second argument is the sender's address.
pub type ClientHandler =
    Arc<dyn Fn(Request<RequestBody>, SocketAddr) -> ResponseFuture + Send + Sync>;

/// Request handler of a server for other nodes; its second argument is the sender's address.
pub type Handler = Arc<dyn Fn(Request<Incoming>, SocketAddr) -> ResponseFuture + Send + Sync>;

/// Opens a listening socket.
///
/// # Errors
///
/// Fails as the operating system does, for example if the address is in use.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Limits of client connections, which a new configuration may change.
#[derive(Clone, Copy, Debug)]
struct ClientConnLimits {
    head_bytes: usize,
    idle: Duration,
}

/// Counter of open connections.
#[derive(Clone, Debug, Default)]
pub struct Connections(Arc<watch::Sender<usize>>);

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct OpenConnection(Connections);

impl Connections {
    fn open(&self) -> OpenConnection {
        self.0.send_modify(|open| *open += 1);
        OpenConnection(self.clone())
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        *self.0.borrow()
    }

    /// Returns `true` if no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.0.send_modify(|open| *open -= 1);
    }
}

/// Server for clients and the local target.
pub struct ClientServer {
    limits: Mutex<ClientConnLimits>,
    handler: ClientHandler,
    counters: AheadCounters,
    connections: Connections,
}

impl ClientServer {
    /// Creates a server that answers with `handler`. Requests that clients send ahead are counted in
    /// `counters`.
    pub fn new(handler: ClientHandler, counters: AheadCounters, connections: Connections) -> Self {
        let limits = ClientConnLimits {
            head_bytes: 64 * 1024,
            idle: Duration::from_secs(30),
        };
        Self {
            limits: Mutex::new(limits),
            handler,
            counters,
            connections,
        }
    }

    /// Sets the limits of connections that are accepted from now on.
    pub fn set_limits(&self, head_bytes: usize, idle: Duration) {
        // The parser needs some space beyond the head itself.
        let head_bytes = (head_bytes + 8 * 1024).max(16 * 1024);
        *lock(&self.limits) = ClientConnLimits { head_bytes, idle };
    }

    /// Accepts connections until `stop` is set. Open connections then end as soon as what was read
    /// on them is answered and the answer is written.
    pub async fn serve(self: Arc<Self>, tcp: TcpListener, mut stop: watch::Receiver<bool>) {
        while let Some((stream, addr)) = accept(&tcp, &mut stop).await {
            let (server, stop) = (Arc::clone(&self), stop.clone());
            tokio::spawn(async move { server.serve_connection(stream, addr, stop).await });
        }
    }

    async fn serve_connection(
        &self,
        stream: TcpStream,
        addr: SocketAddr,
        stop: watch::Receiver<bool>,
    ) {
        let _open = self.connections.open();
        let limits = *lock(&self.limits);
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle)
            .max_buf_size(limits.head_bytes);
        let result = ahead::serve(
            &builder,
            limits.head_bytes,
            (stream, addr),
            &self.handler,
            &self.counters,
            stop,
        )
        .await;
        if let Err(e) = result {
            log::debug!(client:% = addr, reason:% = e; "client_connection_ended");
        }
    }
}

/// Server for other nodes.
pub struct PeerServer {
    handler: Handler,
    connections: Connections,
}

impl PeerServer {
    /// Creates a server that answers with `handler`.
    pub fn new(handler: Handler, connections: Connections) -> Self {
        Self {
            handler,
            connections,
        }
    }

    /// Accepts connections until `stop` is set. Open connections then end as soon as the requests
    /// on them are answered.
    pub async fn serve(self, tcp: TcpListener, mut stop: watch::Receiver<bool>) {
        while let Some((stream, addr)) = accept(&tcp, &mut stop).await {
            let handler = Arc::clone(&self.handler);
            let service = service_fn(move |req| {
                let answer = handler(req, addr);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let conn = http2::Builder::new(TokioExecutor::new())
                .timer(TokioTimer::new())
                .max_concurrent_streams(STREAMS_MAX)
                .initial_stream_window_size(STREAM_WINDOW_BYTES)
                .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
                .max_pending_accept_reset_streams(RESETS_PENDING_MAX)
                .max_local_error_reset_streams(None)
                .serve_connection(TokioIo::new(stream), service);
            let (open, mut stop) = (self.connections.open(), stop.clone());
            tokio::spawn(async move {
                let _open = open;
                tokio::pin!(conn);
                // The other node detects a broken connection itself.
                tokio::select! {
                    _ = conn.as_mut() => return,
                    _ = stop.wait_for(|stop| *stop) => {}
                }
                conn.as_mut().graceful_shutdown();
                let _ = conn.await;
            });
        }
    }
}

async fn accept(
    tcp: &TcpListener,
    stop: &mut watch::Receiver<bool>,
) -> Option<(TcpStream, SocketAddr)> {
    loop {
        let accepted = tokio::select! {
            accepted = tcp.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return None,
        };
        match accepted {
            Ok((stream, addr)) => {
                socket::set_options(&stream);
                return Some((stream, addr));
            }
            Err(e) => {
                log::warn!(reason:% = e; "accept_failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
