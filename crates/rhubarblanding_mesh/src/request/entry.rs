//! The entry of a request: its route, its target, and what is done when an attempt fails.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, Request, Response, Uri};
use hyper::body::Incoming;
use rhubarblanding_admission::slots::KindKey;
use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::request::body::{ReadError, read_whole};
use rhubarblanding_routing::prelude::{TargetId, TargetOutcome};

use super::answer::refusal;
use super::forward::forward;
use super::headers::strip_connection;
use super::hop::{ANSWER_HEADER, HopHeader, HopOutcome, HopReply, HopRequest, REQUEST_HEADER};
use crate::connection::Payload;
use crate::process::{RefusalStage, RetryReason, Shared};
use crate::version::ChosenRoute;

/// Time beyond the deadline in which the answer of the node beside the target may still come.
const ANSWER_GRACE: Duration = Duration::from_millis(80);
/// Targets asked for one request while none of them was sent it.
const PLACEMENTS_MAX: usize = 3;
/// Time after which a client is told to come back if this node has no configuration or knows no
/// target: both are mended within a second or two.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// Time after which a client that is refused by a stopping node is told to come back, to another
/// node.
const STOPPING_RETRY: Duration = Duration::from_millis(50);

/// A request that is being served.
struct Exchange {
    id: HeaderValue,
    route: ChosenRoute,
    service: ServiceName,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    host: String,
    body: Bytes,
    began: MonoTime,
    /// Time after which the client or the operators want no answer.
    deadline: MonoTime,
    objective: MonoTime,
    rank: u8,
    is_call: bool,
    repeated: bool,
    calls_left: u32,
}

/// Answers a request of a client or of the local target.
pub async fn handle_client(
    node: Arc<Shared>,
    req: Request<Incoming>,
    _: SocketAddr,
) -> Response<Payload> {
    let began = node.clock.now();
    let _open = node.open_request();
    let mut resp = match admit(&node, req, began).await {
        Ok(exchange) => {
            let cancelled = CancelNote::new(&node, &exchange);
            let resp = serve(&node, &exchange).await;
            cancelled.disarm();
            if exchange.is_call && !resp.status().is_success() {
                let parents = node.dialect.possible_parents(exchange.id.as_bytes());
                node.local.record_failed_call(&parents);
            }
            resp
        }
        Err(resp) => resp,
    };
    if node.is_stopping() {
        // The client is to open its next connection to another node.
        resp.headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    resp
}

/// Finds out what a request asks for, or why it cannot be served.
async fn admit(
    node: &Shared,
    req: Request<Incoming>,
    began: MonoTime,
) -> Result<Exchange, Response<Payload>> {
    let (mut parts, body) = req.into_parts();
    let names = node.dialect.headers();
    let id = parts.headers.get(&names.request_id).cloned();
    let reject = |kind: ErrorKind, retry: Option<Duration>| {
        let ending = Refusal {
            kind,
            retry_after: retry,
        };
        node.log_refusal(id.as_ref(), ending, RefusalStage::AtEntry);
        refusal(ending)
    };
    let Some(version) = node.version() else {
        return Err(reject(ErrorKind::NoConfiguration, Some(NOT_READY_RETRY)));
    };
    let Some(request_id) = id.clone() else {
        return Err(reject(ErrorKind::InvalidRequest, None));
    };
    let host = host_of(&parts.headers, &parts.uri)
        .unwrap_or_default()
        .to_owned();
    let Some(route) = ChosenRoute::find(&version, &host, parts.uri.path()) else {
        return Err(reject(ErrorKind::UnknownRoute, None));
    };
    let parents = node.dialect.possible_parents(request_id.as_bytes());
    let lineage = node.local.begin_call(&parents);
    if node.is_refusing_clients() && lineage.is_none() {
        return Err(reject(ErrorKind::NodeDraining, Some(STOPPING_RETRY)));
    }
    let limit = version.configuration().limits.body_bytes;
    let body = match read_whole(body, limit).await {
        Ok(body) => body,
        Err(ReadError::TooLarge) => return Err(reject(ErrorKind::BodyTooLarge, None)),
        Err(ReadError::Cut) => return Err(reject(ErrorKind::InvalidRequest, None)),
    };
    let told = parts
        .headers
        .get(&names.deadline_ms)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.trim().parse().ok())
        .map(Duration::from_millis);
    let timeout = route.route().timeout;
    let deadline = began + told.map_or(timeout, |told| told.min(timeout));
    let own_end = began + route.route().objective;
    let objective = lineage.map_or(own_end, |l| l.objective).min(deadline);
    let rank = lineage.map_or(route.route().rank, |l| l.rank);
    strip_connection(&mut parts.headers);
    for name in [header::HOST, header::CONTENT_LENGTH, header::EXPECT] {
        parts.headers.remove(name);
    }
    for name in [REQUEST_HEADER, ANSWER_HEADER] {
        parts.headers.remove(name);
    }
    parts.headers.remove(&names.expected_instance);
    if let Ok(caller) = HeaderValue::try_from(node.settings().service.as_str()) {
        parts.headers.insert(names.caller_service.clone(), caller);
    }
    let uri = parts
        .uri
        .into_parts()
        .path_and_query
        .map_or_else(Default::default, Into::into);
    let service = route.next_backend().service.clone();
    Ok(Exchange {
        id: request_id,
        route,
        service,
        method: parts.method,
        uri,
        headers: parts.headers,
        host,
        body,
        began,
        deadline,
        objective,
        rank,
        is_call: lineage.is_some(),
        repeated: lineage.is_some_and(|l| l.repeated),
        calls_left: lineage.map_or(0, |l| l.calls_left),
    })
}

fn host_of<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> Option<&'a str> {
    uri.authority()
        .map(|authority| authority.as_str())
        .or_else(|| headers.get(header::HOST)?.to_str().ok())
}

/// Logs a request whose sender leaves before the answer.
struct CancelNote<'a> {
    node: &'a Shared,
    exchange: &'a Exchange,
    armed: bool,
}

impl<'a> CancelNote<'a> {
    fn new(node: &'a Shared, exchange: &'a Exchange) -> Self {
        Self {
            node,
            exchange,
            armed: true,
        }
    }

    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CancelNote<'_> {
    fn drop(&mut self) {
        if self.armed {
            let waited = self.node.clock.now().since(self.exchange.began);
            self.node
                .log_cancelled(&self.exchange.id, &self.exchange.service, waited);
        }
    }
}

/// What comes after an attempt.
enum Next {
    Deliver(Response<Payload>),
    Refuse(Refusal),
    Again,
}

/// How an attempt ended in which the request ran, or may have.
enum Ran {
    /// The target answered with a failure.
    Failed(TargetId, Response<Payload>),
    /// No usable answer came.
    Lost(ErrorKind),
}

/// Attempts of one request so far.
#[derive(Default)]
struct Attempts {
    /// Hosts that were asked.
    tried: Vec<HostId>,
    /// Targets that the request was sent to.
    reached: u32,
    /// Refusal of the target asked last.
    refusal: Option<Refusal>,
    /// Ending of the first attempt in which the request ran.
    ran: Option<Ran>,
}

async fn serve(node: &Arc<Shared>, exchange: &Exchange) -> Response<Payload> {
    if exchange.repeated {
        // The calls of a repeated request are repeats at the services that they go to.
        node.charge_repeat(&exchange.service);
    } else {
        node.count_first_attempt(&exchange.service);
    }
    let mut attempts = Attempts::default();
    loop {
        let now = node.clock.now();
        if now >= exchange.deadline {
            let kind = match attempts.reached {
                0 => ErrorKind::QueueTimeout,
                _ => ErrorKind::DeadlineExceeded,
            };
            return conclude(node, exchange, Refusal::new(kind), attempts);
        }
        let Some(target) = node.targets.pick(now, &exchange.service, &attempts.tried) else {
            let unknown = Refusal::with_retry_after(ErrorKind::NoTarget, NOT_READY_RETRY);
            let refusal = attempts.refusal.unwrap_or(unknown);
            return conclude(node, exchange, refusal, attempts);
        };
        attempts.tried.push(target.host);
        match attempt(node, exchange, target, &mut attempts).await {
            Next::Deliver(resp) => return deliver(node, exchange, target, resp),
            Next::Refuse(refusal) => return conclude(node, exchange, refusal, attempts),
            Next::Again => {}
        }
    }
}

fn deliver(
    node: &Shared,
    exchange: &Exchange,
    target: TargetId,
    resp: Response<Payload>,
) -> Response<Payload> {
    let Exchange { id, service, .. } = exchange;
    node.log_answer(id, service, target, resp.status(), exchange.began);
    resp
}

/// Ends a request that no further target is asked for. One that has run gets what is known of that
/// run: a refusal of a later attempt would say that it did not run.
fn conclude(
    node: &Shared,
    exchange: &Exchange,
    refusal: Refusal,
    mut attempts: Attempts,
) -> Response<Payload> {
    match attempts.ran.take() {
        Some(Ran::Failed(target, resp)) => deliver(node, exchange, target, resp),
        Some(Ran::Lost(kind)) => refuse(node, exchange, Refusal::new(kind), &attempts),
        None => refuse(node, exchange, refusal, &attempts),
    }
}

fn refuse(
    node: &Shared,
    exchange: &Exchange,
    ending: Refusal,
    attempts: &Attempts,
) -> Response<Payload> {
    let ending_at = RefusalStage::AfterSelection {
        service: &exchange.service,
        version: exchange.route.version(),
        tried: &attempts.tried,
        waited: node.clock.now().since(exchange.began),
    };
    node.log_refusal(Some(&exchange.id), ending, ending_at);
    refusal(ending)
}

async fn attempt(
    node: &Arc<Shared>,
    exchange: &Exchange,
    target: TargetId,
    attempts: &mut Attempts,
) -> Next {
    let limit = node.clock.instant(exchange.deadline + ANSWER_GRACE);
    let hop = hop_request(node, exchange, attempts.reached);
    let sent = node.targets.started(&exchange.service, target);
    let reply = tokio::time::timeout_at(limit, forward(node, target.host, hop)).await;
    let Ok(HopReply {
        outcome,
        call_failed,
        load,
    }) = reply
    else {
        sent.finish(TargetOutcome::Silent);
        return Next::Refuse(Refusal::new(ErrorKind::DeadlineExceeded));
    };
    if let Some(load) = load {
        node.targets.observe(&exchange.service, target, load);
    }
    match outcome {
        HopOutcome::Answered(resp) => {
            sent.finish(match resp.status().is_server_error() && !call_failed {
                true => TargetOutcome::Failed,
                false => TargetOutcome::Answered,
            });
            attempts.reached += 1;
            if call_failed {
                // The service that failed is further down; another run would fail there too.
                return Next::Deliver(resp);
            }
            on_answer(node, exchange, (target, resp), attempts)
        }
        HopOutcome::Refused(refusal) => {
            sent.finish(match refusal.kind {
                ErrorKind::ConnectFailed
                | ErrorKind::TargetDraining
                | ErrorKind::UnknownService => TargetOutcome::ConnectFailed,
                _ => TargetOutcome::Refused,
            });
            attempts.refusal = Some(refusal);
            on_refused(refusal, attempts)
        }
        HopOutcome::Shed(refusal) => {
            sent.finish(TargetOutcome::Rejected);
            attempts.reached += 1;
            attempts.refusal = Some(refusal);
            if may_send_again(node, exchange, attempts, RetryReason::Shed) {
                return Next::Again;
            }
            Next::Refuse(refusal)
        }
        HopOutcome::Lost(kind) => {
            sent.finish(TargetOutcome::ConnectionLost);
            attempts.reached += 1;
            let is_repeatable = exchange.route.route().idempotency == Idempotency::Idempotent;
            if is_repeatable
                && kind != ErrorKind::DeadlineExceeded
                && may_send_again(node, exchange, attempts, RetryReason::Lost)
            {
                attempts.ran.get_or_insert(Ran::Lost(kind));
                return Next::Again;
            }
            Next::Refuse(Refusal::new(kind))
        }
    }
}

/// A failure of the target may be mended by another target, if the request may run twice.
fn on_answer(
    node: &Shared,
    exchange: &Exchange,
    (target, resp): (TargetId, Response<Payload>),
    attempts: &mut Attempts,
) -> Next {
    let is_failure = resp.status().is_server_error() && resp.status().as_u16() != 504;
    let is_repeatable = exchange.route.route().idempotency == Idempotency::Idempotent;
    if is_failure && is_repeatable && may_send_again(node, exchange, attempts, RetryReason::Failed)
    {
        // The answer of a target says more than that none came.
        if !matches!(attempts.ran, Some(Ran::Failed(..))) {
            attempts.ran = Some(Ran::Failed(target, resp));
        }
        return Next::Again;
    }
    Next::Deliver(resp)
}

/// Nothing was sent to the target, so another one may be asked at no cost to the retry bound.
fn on_refused(refusal: Refusal, attempts: &Attempts) -> Next {
    let is_final = matches!(
        refusal.kind,
        ErrorKind::DeadlineBeforeRun | ErrorKind::QueueTimeout | ErrorKind::InvalidRequest
    );
    if is_final || attempts.tried.len() >= PLACEMENTS_MAX {
        return Next::Refuse(refusal);
    }
    Next::Again
}

fn may_send_again(
    node: &Shared,
    exchange: &Exchange,
    attempts: &Attempts,
    reason: RetryReason,
) -> bool {
    let is_allowed = attempts.reached < exchange.route.route().max_attempts
        && attempts.tried.len() < PLACEMENTS_MAX
        && node.take_retry(&exchange.service, exchange.calls_left);
    if is_allowed {
        node.log_retry(&exchange.id, &exchange.service, reason, &attempts.tried);
    }
    is_allowed
}

fn hop_request(node: &Shared, exchange: &Exchange, reached: u32) -> HopRequest {
    let now = node.clock.now();
    let route = exchange.route.route();
    HopRequest {
        header: HopHeader {
            service: exchange.service.clone(),
            deadline: now.until(exchange.deadline),
            objective: now.until(exchange.objective),
            rank: exchange.rank,
            is_call: exchange.is_call,
            repeated: exchange.repeated || reached > 0,
            calls_left: exchange.calls_left,
            kind: KindKey(stable_hash(0, route.name.as_bytes())),
            host: exchange.host.clone(),
        },
        method: exchange.method.clone(),
        uri: exchange.uri.clone(),
        headers: exchange.headers.clone(),
        body: exchange.body.clone(),
    }
}
