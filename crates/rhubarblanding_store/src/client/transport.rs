//! HTTP exchange with a time limit. Its errors state whether a failed call may have been applied.

use std::error::Error;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt};
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::connector::MeteredConnector;
use super::{StoreResult, StoreSettings};
use crate::codec::{Effect, WireCall};
use crate::error::StoreError;

/// Maximum size of an answer in bytes: a page of a listing holds some values, written as text.
const ANSWER_MAX_BYTES: usize = 6 << 20;
/// Bytes that an answer may take on its connection, with its head and framing.
const METERED_BYTES: u64 = 8 << 20;

/// Time for which an idle connection is kept.
const POOL_IDLE: Duration = Duration::from_secs(30);

/// Maximum number of idle connections. An idle connection may be dead without notice, and each
/// dead one makes a call fail after its whole time limit, so only one is kept.
const POOL_MAX_IDLE: usize = 1;

/// Idle time after which the kernel probes a connection: a waiting watch sends nothing, so only
/// a probe detects that its connection is dead.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection counts as lost.
const KEEPALIVE_RETRIES: u32 = 2;

/// Complete answer.
#[derive(Debug)]
pub(super) struct Received {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// Pool of connections to the service.
#[derive(Clone, Debug)]
pub(super) struct Transport {
    http: Client<MeteredConnector, Full<Bytes>>,
    settings: StoreSettings,
}

impl Transport {
    pub(super) fn new(settings: StoreSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(settings.connect_timeout));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_IDLE));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE)
            .pool_max_idle_per_host(POOL_MAX_IDLE)
            .build(MeteredConnector::new(connector, METERED_BYTES));
        Self { http, settings }
    }

    /// Makes one call with the time limit of a call plus `wait`.
    pub(super) async fn call(
        &self,
        call: WireCall,
        effect: Effect,
        wait: Duration,
    ) -> StoreResult<Received> {
        let mut builder = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.settings.addr, call.path));
        if let Some(content_type) = call.content_type {
            builder = builder.header(header::CONTENT_TYPE, content_type);
        }
        let req = builder
            .body(Full::new(call.body))
            .change_context(StoreError::Unavailable)?;
        let limit = self.settings.call_timeout.saturating_add(wait);
        tokio::time::timeout(limit, self.exchange(req, effect))
            .await
            .change_context(effect.error_after_send())
            .attach("no answer in time")?
    }

    async fn exchange(&self, req: Request<Full<Bytes>>, effect: Effect) -> StoreResult<Received> {
        let res = match self.http.request(req).await {
            Ok(res) => res,
            Err(e) if e.is_connect() => {
                return Err(Report::new(e).change_context(StoreError::Unavailable));
            }
            Err(e) => return Err(Report::new(e).change_context(effect.error_after_send())),
        };
        let (head, body) = res.into_parts();
        let body = read(body).await;
        Ok(Received {
            status: head.status,
            headers: head.headers,
            body: body.map_err(|e| Report::new(effect.error_after_send()).attach(e.to_string()))?,
        })
    }
}

/// Reads a body of at most [`ANSWER_MAX_BYTES`]. Its parts are copied, as each keeps all of the memory
/// into which it was read, however short it is.
async fn read(body: Incoming) -> Result<Bytes, Box<dyn Error + Send + Sync>> {
    let mut body = Limited::new(body, ANSWER_MAX_BYTES);
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buf.extend_from_slice(&data);
        }
    }
    Ok(buf.freeze())
}
