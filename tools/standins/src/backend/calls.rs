//! Downstream calls of a backend server.

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::ids::IdempotencyKey;
use rhubarblanding_core::names::ServiceName;
use strum::Display;

use super::Shared;
use super::control::count;
use super::query::WorkQuery;
use super::settings::{CallPlan, CallSettings};
use crate::answer;
use crate::headers;
use crate::http::{HttpClient, client, header_number, header_text};

/// Units of the retry budget that one repeat takes.
const RETRY_COST: i64 = 100;
/// Greatest content of the retry budget.
const RETRY_BUDGET_MAX: i64 = 10 * RETRY_COST;

/// Reason why an attempt of a downstream call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallError {
    /// There is neither a node nor a direct target for the service.
    NoRoute,
    /// The connection could not be opened or broke.
    Connection,
    /// The answer has a status other than 200.
    Status,
    /// The body is not the one that belongs to the request.
    WrongAnswer,
    /// The time for the call has passed.
    Timeout,
}

/// A downstream call that failed after all repeats.
#[derive(Clone, Debug)]
pub struct CallFailure {
    /// Service that was called.
    pub service: ServiceName,
    /// Reason of the last failure.
    pub reason: CallError,
}

/// The request on whose behalf downstream calls are made.
#[derive(Clone, Debug)]
pub struct Origin<'a> {
    method: &'a Method,
    request_id: &'a str,
    token: Option<&'a str>,
    key: Option<IdempotencyKey>,
    deadline: Option<Instant>,
}

impl<'a> Origin<'a> {
    /// Origin with the method and header fields of a request that arrived at `arrived`.
    pub fn new(
        method: &'a Method,
        headers: &'a HeaderMap,
        request_id: &'a str,
        arrived: Instant,
    ) -> Self {
        let key = header_text(headers, headers::IDEMPOTENCY_KEY);
        let limit_ms = header_number(headers, headers::DEADLINE_MS);
        Self {
            method,
            request_id,
            token: header_text(headers, headers::TOKEN),
            key: key.and_then(|raw| IdempotencyKey::try_from(raw).ok()),
            deadline: limit_ms.map(|ms| arrived + Duration::from_millis(ms)),
        }
    }

    /// Key of the non-idempotent downstream call at `index`, derived from the key of the origin.
    fn key_at(&self, index: usize) -> Option<IdempotencyKey> {
        let key = self.key?;
        let mut random = [0; 10];
        let low = stable_hash(index as u64, key.as_bytes());
        random[..8].copy_from_slice(&low.to_le_bytes());
        Some(IdempotencyKey::mint(key.minted_at(), random))
    }

    fn remaining(&self, timeout: Duration) -> Duration {
        self.deadline.map_or(timeout, |deadline| {
            timeout.min(deadline.saturating_duration_since(Instant::now()))
        })
    }
}

/// Makes the downstream calls of a backend server.
#[derive(Debug)]
pub struct Calls {
    cfg: CallSettings,
    client: HttpClient,
    retry_budget: AtomicI64,
}

impl Calls {
    /// Caller with its own connections.
    pub fn new(cfg: CallSettings) -> Self {
        Self {
            cfg,
            client: client(),
            retry_budget: AtomicI64::new(RETRY_BUDGET_MAX),
        }
    }

    /// Makes every call of the plan, one after the other.
    pub async fn call_all(&self, shared: &Shared, origin: &Origin<'_>) -> Result<(), CallFailure> {
        for (index, plan) in self.cfg.plan.iter().enumerate() {
            count(&shared.counters.calls);
            let result = self.call(shared, origin, plan, index).await;
            if let Err(reason) = result {
                count(&shared.counters.call_failures);
                let service = plan.service.clone();
                return Err(CallFailure { service, reason });
            }
        }
        Ok(())
    }

    async fn call(
        &self,
        shared: &Shared,
        origin: &Origin<'_>,
        plan: &CallPlan,
        index: usize,
    ) -> Result<(), CallError> {
        let request_id = format!("{}.{index}", origin.request_id);
        self.earn_retry();
        let mut repeats_left = self.cfg.retries;
        loop {
            count(&shared.counters.call_attempts);
            let remaining = origin.remaining(self.cfg.timeout);
            let attempt = self.attempt(shared, origin, plan, index, &request_id);
            let result = tokio::time::timeout(remaining, attempt)
                .await
                .unwrap_or(Err(CallError::Timeout));
            let Err(reason) = result else {
                return Ok(());
            };
            if reason == CallError::WrongAnswer {
                count(&shared.counters.wrong_answers);
            }
            if repeats_left == 0 || !self.spend_retry() {
                return Err(reason);
            }
            repeats_left -= 1;
        }
    }

    async fn attempt(
        &self,
        shared: &Shared,
        origin: &Origin<'_>,
        plan: &CallPlan,
        index: usize,
        request_id: &str,
    ) -> Result<(), CallError> {
        let uri = self.uri(shared, plan).ok_or(CallError::NoRoute)?;
        let req = self
            .request(origin, plan, index, request_id, uri)
            .map_err(|_| CallError::NoRoute)?;
        let answer = self
            .client
            .request(req)
            .await
            .map_err(|_| CallError::Connection)?;
        check(answer, plan, request_id).await
    }

    fn request(
        &self,
        origin: &Origin<'_>,
        plan: &CallPlan,
        index: usize,
        request_id: &str,
        uri: String,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let method = plan.method.as_ref().unwrap_or(origin.method);
        let mut builder = Request::builder()
            .method(method.clone())
            .uri(uri)
            .header(headers::REQUEST_ID, request_id);
        if let Some(token) = origin.token {
            builder = builder.header(headers::TOKEN, token);
        }
        if let Some(deadline) = origin.deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            builder = builder.header(headers::DEADLINE_MS, left.as_millis() as u64);
        }
        if let Some(key) = origin.key_at(index).filter(|_| method != Method::GET) {
            builder = builder.header(headers::IDEMPOTENCY_KEY, key.to_string());
        }
        builder.body(Full::default())
    }

    fn uri(&self, shared: &Shared, plan: &CallPlan) -> Option<String> {
        if let Some(node) = self.cfg.node {
            return Some(format!("http://{node}/call/{}{}", plan.service, plan.path));
        }
        let direct = &self.cfg.direct;
        let of_service = || {
            direct
                .iter()
                .filter(|target| target.service == plan.service)
        };
        let len = of_service().count();
        if len == 0 {
            return None;
        }
        let target = of_service().nth(shared.service_times.index(len))?;
        Some(format!("http://{}{}", target.address, plan.path))
    }

    fn earn_retry(&self) {
        let Some(percent) = self.cfg.retry_budget_percent else {
            return;
        };
        let before = self
            .retry_budget
            .fetch_add(i64::from(percent), Ordering::Relaxed);
        if before > RETRY_BUDGET_MAX {
            self.retry_budget.store(RETRY_BUDGET_MAX, Ordering::Relaxed);
        }
    }

    fn spend_retry(&self) -> bool {
        if self.cfg.retry_budget_percent.is_none() {
            return true;
        }
        self.retry_budget
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                (left >= RETRY_COST).then_some(left - RETRY_COST)
            })
            .is_ok()
    }
}

async fn check(
    answer: Response<Incoming>,
    plan: &CallPlan,
    request_id: &str,
) -> Result<(), CallError> {
    let status = answer.status();
    let body = answer
        .into_body()
        .collect()
        .await
        .map_err(|_| CallError::Connection)?
        .to_bytes();
    if status != StatusCode::OK {
        return Err(CallError::Status);
    }
    let uri = plan.path.parse().map_err(|_| CallError::NoRoute)?;
    let query = WorkQuery::try_from(&uri).map_err(|_| CallError::NoRoute)?;
    if body == answer::whole(request_id, &query.path, query.bytes) {
        Ok(())
    } else {
        Err(CallError::WrongAnswer)
    }
}
