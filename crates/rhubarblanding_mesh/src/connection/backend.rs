//! Connections to the local target.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::process::Clock;
use rhubarblanding_node::process::parking::{Mutex, lock};
use rhubarblanding_store::metered::{Meter, MeteredStream, is_used_up};
use strum::Display;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::socket;

/// Timeout for opening a connection on this host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is not reused if the target announces no idle timeout.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);
/// Share of the idle timeout announced by the target after which a connection is not reused.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Time for which no connection is reused after the target sent bytes that belong to no request: a
/// late extra answer would be mistaken for the answer to the next request.
const GARBLED_PERIOD: Duration = Duration::from_secs(5);
/// Maximum size of the head of an answer, in bytes.
const HEAD_MAX_BYTES: usize = 64 * 1024;
/// Bytes that an answer may take before its first data: its head, interim answers and what is read
/// ahead.
const METERED_BYTES: u64 = 192 * 1024;

/// Reason for which no connection could be opened; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectError {
    /// The target does not listen.
    Refused,
    /// The target did not answer in time.
    Timeout,
}

/// Reason for which an exchange has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ExchangeError {
    /// The connection was closed before anything was sent on it.
    NotSent,
    /// The connection broke after the request may have been sent.
    Lost,
    /// The target sent something that is not an answer to the request.
    Garbled,
    /// The target sent a status that is none.
    InvalidStatus,
}

impl ExchangeError {
    /// Returns `true` if bytes that are no answer may follow on any connection to the target.
    pub fn is_garbled(self) -> bool {
        matches!(self, Self::Garbled | Self::InvalidStatus)
    }
}

/// Returns `true` if a final answer may have this status (RFC 9110, section 15). Interim answers are
/// read over; no request asks to switch protocols.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

impl From<hyper::Error> for ExchangeError {
    fn from(e: hyper::Error) -> Self {
        if e.is_canceled() {
            Self::NotSent
        } else if e.is_parse() || e.is_user() || is_endless(&e) {
            Self::Garbled
        } else {
            Self::Lost
        }
    }
}

/// Returns `true` if the target sent too many bytes that yield no data.
fn is_endless(e: &hyper::Error) -> bool {
    let cause = e.source().and_then(|e| e.downcast_ref::<io::Error>());
    cause.is_some_and(is_used_up)
}

#[derive(Debug)]
struct IdleConn {
    conn: BackendConn,
    until: MonoTime,
}

/// Connection to the target; dropping it closes it.
#[derive(Debug)]
pub struct BackendConn {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    meter: Arc<Meter>,
    idle_timeout: Duration,
}

impl Drop for BackendConn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl BackendConn {
    /// Returns the meter of what is read.
    pub fn meter(&self) -> Arc<Meter> {
        Arc::clone(&self.meter)
    }

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
        if !is_final_status(resp.status()) {
            return Err(ExchangeError::InvalidStatus);
        }
        self.idle_timeout = idle_timeout(resp.headers());
        Ok(resp)
    }
}

/// Returns the time for which a connection may be idle after an answer with these headers.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let has_close = headers
        .get(header::CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if has_close {
        return Duration::ZERO;
    }
    let announced = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            value
                .split(',')
                .find_map(|p| p.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse::<u64>().ok());
    announced.map_or(IDLE_TIMEOUT_DEFAULT, |seconds| {
        Duration::from_secs(seconds).mul_f64(IDLE_TIMEOUT_SHARE)
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
        if !self.is_recently_garbled() {
            while let Some(mut conn) = self.take_idle() {
                if conn.sender.ready().await.is_ok() {
                    return Ok(conn);
                }
            }
        }
        self.open(addr).await
    }

    /// Returns `true` if the target refuses connections. Else the connection is kept for a request.
    pub async fn is_refused(&self, addr: SocketAddr) -> bool {
        match self.open(addr).await {
            Ok(conn) => {
                self.put(conn);
                false
            }
            Err(e) => e == ConnectError::Refused,
        }
    }

    /// Returns a connection to the pool after a complete answer.
    pub fn put(&self, conn: BackendConn) {
        if conn.idle_timeout.is_zero() || conn.sender.is_closed() || self.is_recently_garbled() {
            return;
        }
        let until = self.clock.now() + conn.idle_timeout;
        lock(&self.idle).push(IdleConn { conn, until });
    }

    /// Closes every idle connection.
    pub fn clear(&self) {
        lock(&self.idle).clear();
    }

    /// Closes the connections that have reached their idle timeout.
    pub fn expire(&self) {
        let now = self.clock.now();
        lock(&self.idle).retain(|idle| idle.until > now && !idle.conn.sender.is_closed());
    }

    /// Records that the target sent bytes that belong to no request, and closes every idle
    /// connection.
    pub fn record_garbled(&self) {
        let now = self.clock.now().as_micros().max(1);
        self.garbled_at.store(now, Ordering::Relaxed);
        self.clear();
    }

    fn is_recently_garbled(&self) -> bool {
        let at = self.garbled_at.load(Ordering::Relaxed);
        at > 0 && self.clock.now().since(MonoTime::from_micros(at)) < GARBLED_PERIOD
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
        socket::set_options(&stream);
        let stream = MeteredStream::new(stream, METERED_BYTES);
        let meter = stream.meter();
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(HEAD_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ConnectError::Refused)?;
        let garbled_at = Arc::clone(&self.garbled_at);
        let clock = self.clock;
        let driver = tokio::spawn(async move {
            // A broken connection makes the exchange in progress fail by itself.
            if let Err(e) = conn.await
                && (e.is_parse() || is_endless(&e))
            {
                garbled_at.store(clock.now().as_micros().max(1), Ordering::Relaxed);
            }
        });
        Ok(BackendConn {
            sender,
            driver: driver.abort_handle(),
            meter,
            idle_timeout: IDLE_TIMEOUT_DEFAULT,
        })
    }
}
