//! HTTP exchange with a time limit, and the judgement of what a failure leaves behind.

use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;

use super::{StoreResult, StoreSettings};
use crate::error::StoreError;
use crate::value::{Revision, Versioned};

/// Header that carries the revision of a value.
const REVISION_HEADER: &str = "x-revision";

/// Greatest size of an answer in bytes: a listing may be larger than one value.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// Time for which an idle connection is kept.
const POOL_IDLE: Duration = Duration::from_secs(30);

/// Idle connections kept. An idle connection may have gone silent, and each such one costs a
/// call its whole time limit, so there is at most one.
const POOL_MAX_IDLE: usize = 1;

/// Whether a call may change the service's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    Read,
    Write,
}

impl Effect {
    /// Failure of a call of which some byte may have reached the service.
    fn after_send(self) -> StoreError {
        match self {
            Self::Read => StoreError::Unavailable,
            Self::Write => StoreError::AnswerLost,
        }
    }

    /// Failure of a call whose answer is not understood.
    fn not_understood(self) -> StoreError {
        match self {
            Self::Read => StoreError::InvalidAnswer,
            Self::Write => StoreError::AnswerLost,
        }
    }
}

/// A whole answer.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Answer {
    pub(super) fn json<T: DeserializeOwned>(&self, effect: Effect) -> StoreResult<T> {
        serde_json::from_slice(&self.body).change_context(effect.not_understood())
    }

    pub(super) fn revision(&self) -> StoreResult<Revision> {
        self.headers
            .get(REVISION_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok())
            .map(Revision)
            .ok_or_else(|| Report::new(StoreError::InvalidAnswer))
            .attach("no valid revision header")
    }

    pub(super) fn versioned(self) -> StoreResult<Versioned> {
        Ok(Versioned {
            revision: self.revision()?,
            value: self.body,
        })
    }

    /// Failure for a status that the call does not provide for.
    pub(super) fn unexpected(&self, effect: Effect) -> Report<StoreError> {
        let error = match self.status {
            StatusCode::SERVICE_UNAVAILABLE => StoreError::Unavailable,
            status if status.is_client_error() => StoreError::InvalidAnswer,
            _ => effect.not_understood(),
        };
        Report::new(error).attach(format!("status {}", self.status))
    }
}

/// Pool of connections to the service.
#[derive(Clone, Debug)]
pub(super) struct Transport {
    http: Client<HttpConnector, Full<Bytes>>,
    settings: StoreSettings,
}

impl Transport {
    pub(super) fn new(settings: StoreSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(settings.connect_timeout));
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE)
            .pool_max_idle_per_host(POOL_MAX_IDLE)
            .build(connector);
        Self { http, settings }
    }

    /// Makes one call that is given the call's time limit and `wait` on top.
    pub(super) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        effect: Effect,
        wait: Duration,
    ) -> StoreResult<Answer> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.settings.addr))
            .body(Full::new(body))
            .change_context(StoreError::Unavailable)?;
        let limit = self.settings.call_timeout.saturating_add(wait);
        tokio::time::timeout(limit, self.exchange(req, effect))
            .await
            .change_context(effect.after_send())
            .attach("no answer in time")?
    }

    async fn exchange(&self, req: Request<Full<Bytes>>, effect: Effect) -> StoreResult<Answer> {
        let res = match self.http.request(req).await {
            Ok(res) => res,
            Err(e) if e.is_connect() => {
                return Err(Report::new(e).change_context(StoreError::Unavailable));
            }
            Err(e) => return Err(Report::new(e).change_context(effect.after_send())),
        };
        let (head, body) = res.into_parts();
        let body = Limited::new(body, ANSWER_MAX_BYTES)
            .collect()
            .await
            .map_err(|e| Report::new(effect.after_send()).attach(e.to_string()))?
            .to_bytes();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}
