//! Connections to the local target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::process::Clock;
use rhubarblanding_node::process::parking::{Mutex, lock};
use strum::Display;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::socket;

/// Longest time that opening a connection on the own host may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is not used again if the target does not say how long it
/// keeps one.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// Share of the idle time told by the target for which a connection is used.
const IDLE_SHARE: f64 = 0.6;
/// Time after bytes that belong to no request during which a connection is used only once, as a
/// late extra answer would otherwise be taken for the next one.
const DISTRUST: Duration = Duration::from_secs(5);
/// Greatest size of the head of an answer, in bytes.
const HEAD_MAX_BYTES: usize = 64 * 1024;

/// No connection could be opened; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectError {
    /// The target does not listen.
    Refused,
    /// The target did not answer in time.
    Timeout,
}

/// Why an exchange brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ExchangeError {
    /// The connection was closed before anything was sent on it.
    NotSent,
    /// The connection broke after the request may have been sent.
    Lost,
    /// The target sent something that is not an answer to the request.
    Garbled,
}

impl From<hyper::Error> for ExchangeError {
    fn from(e: hyper::Error) -> Self {
        if e.is_canceled() {
            Self::NotSent
        } else if e.is_parse() || e.is_user() {
            Self::Garbled
        } else {
            Self::Lost
        }
    }
}

#[derive(Debug)]
struct IdleConn {
    conn: BackendConn,
    until: MonoTime,
}

/// A connection to the target; dropping it closes it.
#[derive(Debug)]
pub struct BackendConn {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    keep_for: Duration,
}

impl Drop for BackendConn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl BackendConn {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// See [`ExchangeError`].
    pub async fn exchange(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let resp = self.sender.send_request(req).await?;
        self.keep_for = keep_for(resp.headers());
        Ok(resp)
    }
}

/// Time for which a connection may be idle after an answer with these headers.
fn keep_for(headers: &HeaderMap) -> Duration {
    let has_close = headers
        .get(header::CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if has_close {
        return Duration::ZERO;
    }
    let told = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            value
                .split(',')
                .find_map(|p| p.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse::<u64>().ok());
    told.map_or(IDLE_DEFAULT, |seconds| {
        Duration::from_secs(seconds).mul_f64(IDLE_SHARE)
    })
}

/// Pool of connections to the local target.
#[derive(Debug)]
pub struct BackendPool {
    clock: Clock,
    idle: Mutex<Vec<IdleConn>>,
    /// Last time at which the target sent bytes that belong to no request, in microseconds.
    garbled_at: Arc<AtomicU64>,
}

impl BackendPool {
    /// Creates a pool without connections.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: Mutex::default(),
            garbled_at: Arc::default(),
        }
    }

    /// Takes an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// See [`ConnectError`].
    pub async fn get(&self, addr: SocketAddr) -> Result<BackendConn, ConnectError> {
        if !self.is_distrusted() {
            while let Some(mut conn) = self.take_idle() {
                if conn.sender.ready().await.is_ok() {
                    return Ok(conn);
                }
            }
        }
        self.open(addr).await
    }

    /// Gives a connection back after a whole answer.
    pub fn put(&self, conn: BackendConn) {
        if conn.keep_for.is_zero() || conn.sender.is_closed() || self.is_distrusted() {
            return;
        }
        let until = self.clock.now() + conn.keep_for;
        lock(&self.idle).push(IdleConn { conn, until });
    }

    /// Closes every idle connection.
    pub fn clear(&self) {
        lock(&self.idle).clear();
    }

    /// Closes idle connections whose time is over.
    pub fn expire(&self) {
        let now = self.clock.now();
        lock(&self.idle).retain(|idle| idle.until > now && !idle.conn.sender.is_closed());
    }

    /// Notes that the target sent bytes that belong to no request.
    pub fn record_garbled(&self) {
        let now = self.clock.now().as_micros().max(1);
        self.garbled_at.store(now, Ordering::Relaxed);
        self.clear();
    }

    fn is_distrusted(&self) -> bool {
        let at = self.garbled_at.load(Ordering::Relaxed);
        at > 0 && self.clock.now().since(MonoTime::from_micros(at)) < DISTRUST
    }

    fn take_idle(&self) -> Option<BackendConn> {
        let now = self.clock.now();
        let mut idle = lock(&self.idle);
        while let Some(IdleConn { conn, until }) = idle.pop() {
            if until > now && !conn.sender.is_closed() {
                return Some(conn);
            }
        }
        None
    }

    async fn open(&self, addr: SocketAddr) -> Result<BackendConn, ConnectError> {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(ConnectError::Refused),
            Err(_) => return Err(ConnectError::Timeout),
        };
        socket::prepare(&stream);
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(HEAD_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ConnectError::Refused)?;
        let garbled_at = Arc::clone(&self.garbled_at);
        let clock = self.clock;
        let driver = tokio::spawn(async move {
            // The exchange in progress learns of a broken connection by itself.
            if let Err(e) = conn.await
                && e.is_parse()
            {
                garbled_at.store(clock.now().as_micros().max(1), Ordering::Relaxed);
            }
        });
        Ok(BackendConn {
            sender,
            driver: driver.abort_handle(),
            keep_for: IDLE_DEFAULT,
        })
    }
}
