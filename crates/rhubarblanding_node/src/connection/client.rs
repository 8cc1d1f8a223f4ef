//! Clients of other nodes (HTTP/2) and of the local backend server (HTTP/1.1).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::uri::Authority;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rhubarblanding_core::prelude::*;

use crate::process::parking::{Mutex, lock};

/// Longest time that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a frame after which a peer with open streams is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Time that a peer has to answer a ping before its connection counts as silent.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Flow control window of one stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Flow control window of one connection, in bytes.
///
/// It holds the windows of all streams, so that answers that are read slowly hold up no other.
const CONNECTION_WINDOW_BYTES: u32 = (1 << 31) - 1;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time after a failed connect during which no other is tried to the same peer.
const UNREACHABLE_HOLD: Duration = Duration::from_millis(300);

/// Why no answer came, and whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    Connect,
    /// The connection broke after the request may have been sent.
    Lost,
}

impl SendError {
    /// Kind of error for the caller.
    pub fn kind(self) -> ErrorKind {
        match self {
            Self::Connect => ErrorKind::ConnectFailed,
            Self::Lost => ErrorKind::ConnectionLost,
        }
    }
}

impl From<hyper_util::client::legacy::Error> for SendError {
    fn from(error: hyper_util::client::legacy::Error) -> Self {
        if error.is_connect() {
            Self::Connect
        } else {
            Self::Lost
        }
    }
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector
}

/// Client of other nodes: one HTTP/2 connection to each, found silent by pings.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    unreachable: Arc<Mutex<HashMap<Authority, Instant>>>,
}

impl Default for PeerClient {
    fn default() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .timer(TokioTimer::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .http2_only(true)
            // Otherwise the requests that wait for one connect try it again one after the other.
            .retry_canceled_requests(false)
            .http2_keep_alive_interval(PING_INTERVAL)
            .http2_keep_alive_timeout(PING_TIMEOUT)
            .http2_initial_stream_window_size(STREAM_WINDOW_BYTES)
            .http2_initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .build(connector());
        Self {
            client,
            unreachable: Arc::default(),
        }
    }
}

impl PeerClient {
    /// Sends a request to the peer named by its URI.
    ///
    /// # Errors
    ///
    /// See [`SendError`].
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        let peer = req.uri().authority().cloned().ok_or(SendError::Connect)?;
        if self.is_unreachable(&peer) {
            return Err(SendError::Connect);
        }
        let sent = self.client.request(req).await.map_err(SendError::from);
        if matches!(sent, Err(SendError::Connect)) {
            lock(&self.unreachable).insert(peer, Instant::now() + UNREACHABLE_HOLD);
        }
        sent
    }

    /// Whether a connect to `peer` failed just now.
    fn is_unreachable(&self, peer: &Authority) -> bool {
        let mut unreachable = lock(&self.unreachable);
        match unreachable.get(peer) {
            Some(until) if Instant::now() < *until => true,
            Some(_) => {
                unreachable.remove(peer);
                false
            }
            None => false,
        }
    }
}

/// Client of the backend server on this host.
#[derive(Clone, Debug)]
pub struct BackendClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
}

impl BackendClient {
    /// Client of the backend server at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector());
        Self { client, addr }
    }

    /// Address of the backend server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request to the backend server.
    ///
    /// # Errors
    ///
    /// See [`SendError`].
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        self.client.request(req).await.map_err(SendError::from)
    }
}
