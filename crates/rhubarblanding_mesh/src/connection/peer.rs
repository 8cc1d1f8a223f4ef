//! Links to other nodes: one HTTP/2 connection to each, with pings to detect a dead one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::process::Clock;
use rhubarblanding_node::process::parking::{Mutex, lock};
use strum::Display;
use tokio::net::TcpStream;

use super::socket;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after a failed connect during which no other to the same node is tried.
const CONNECT_BACKOFF: Duration = Duration::from_millis(200);
/// Time without a received frame after which a node with open requests is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer to a ping after which the connection counts as broken.
const PING_TIMEOUT: Duration = Duration::from_millis(700);
/// Flow control window of one request, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Flow control window of one connection, in bytes: many slow readers must not delay others.
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;
/// Requests reset by this node that a connection keeps track of: callers that disconnect cause
/// many.
const TRACKED_RESETS_MAX: usize = 4_096;

/// Reason for which another node's answer is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum PeerError {
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent: the host is in reach, but no node listens there.
    Refused,
    /// The connection broke after the request may have been sent.
    Lost,
}

type Sender = http2::SendRequest<Full<Bytes>>;

#[derive(Debug, Default)]
struct Link {
    sender: tokio::sync::Mutex<Option<Sender>>,
    unreachable: Mutex<Option<(MonoTime, PeerError)>>,
}

/// Links to all other nodes.
#[derive(Debug)]
pub struct PeerPool {
    clock: Clock,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
}

impl PeerPool {
    /// Creates a pool without connections.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            links: Mutex::default(),
        }
    }

    /// Sends a request to `peer` and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// See [`PeerError`].
    pub async fn send(
        &self,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, PeerError> {
        let mut sender = self.sender(peer).await?;
        sender.ready().await.map_err(|_| PeerError::NotSent)?;
        sender.send_request(req).await.map_err(|e| {
            if e.is_canceled() {
                PeerError::NotSent
            } else {
                PeerError::Lost
            }
        })
    }

    async fn sender(&self, peer: SocketAddr) -> Result<Sender, PeerError> {
        let link = Arc::clone(lock(&self.links).entry(peer).or_default());
        let mut current = link.sender.lock().await;
        if let Some(sender) = current.as_ref().filter(|sender| !sender.is_closed()) {
            return Ok(sender.clone());
        }
        if let Some((until, error)) = *lock(&link.unreachable)
            && self.clock.now() < until
        {
            return Err(error);
        }
        match connect(peer).await {
            Ok(sender) => {
                *current = Some(sender.clone());
                Ok(sender)
            }
            Err(error) => {
                *current = None;
                *lock(&link.unreachable) = Some((self.clock.now() + CONNECT_BACKOFF, error));
                Err(error)
            }
        }
    }
}

async fn connect(peer: SocketAddr) -> Result<Sender, PeerError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer));
    let stream = connecting.await.map_err(|_| PeerError::NotSent)?;
    let stream = stream.map_err(|e| match e.kind() {
        std::io::ErrorKind::ConnectionRefused => PeerError::Refused,
        _ => PeerError::NotSent,
    })?;
    socket::set_options(&stream);
    let handshake = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_reset_streams(TRACKED_RESETS_MAX)
        .handshake(TokioIo::new(stream));
    let (sender, conn) = handshake.await.map_err(|_| PeerError::NotSent)?;
    tokio::spawn(async move {
        if let Err(e) = conn.await {
            log::info!(peer:% = peer, reason:% = e; "peer_connection_lost");
        }
    });
    Ok(sender)
}
