//! The face for callers: a root request enters the system.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::uri::PathAndQuery;
use http::{HeaderMap, Response, Uri, Version};
use rand::Rng;
use rhubarblanding_admission::prelude::{CallerId, KindId};
use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::prelude::*;
use rhubarblanding_request::prelude::*;
use rhubarblanding_tickets::prelude::KindSpec;

use super::dispatch::Dispatch;
use super::faces::Taken;
use super::{CallRequest, RequestRef, answer, body, headers};
use crate::connection::Body;
use crate::process::{Event, Shared};
use crate::version::kind_id;

/// Longest deadline that a caller may ask for.
const DEADLINE_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// A refusal with the field and the reason where the caller can mend it.
pub struct Rejected {
    /// The refusal.
    pub refusal: Refusal,
    /// Field and reason.
    pub detail: Option<String>,
}

impl Rejected {
    /// Rejection that names a field and what is wrong with it.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            refusal: Refusal::new(kind),
            detail: Some(detail.into()),
        }
    }
}

impl From<Refusal> for Rejected {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            detail: None,
        }
    }
}

/// Answers a caller.
pub async fn caller_face(node: Arc<Shared>, req: Taken) -> Response<Body> {
    node.counters.event(Event::CallerRequest);
    let caller = caller_id(req.sender, &req.headers);
    match enter(&node, req).await {
        Ok(resp) => {
            node.counters.event(Event::CallerAnswer);
            resp
        }
        Err(rejected) => {
            note_refusal(&node, caller, rejected.refusal);
            answer::refusal(rejected.refusal, rejected.detail.as_deref())
        }
    }
}

fn note_refusal(node: &Shared, caller: Option<CallerId>, refusal: Refusal) {
    node.counters.refusal(refusal.kind);
    let for_load = matches!(
        refusal.kind,
        ErrorKind::Overloaded | ErrorKind::UpstreamOverloaded | ErrorKind::QueueTimeout
    );
    if let (true, Some(caller), Some(after)) = (for_load, caller, refusal.retry_after) {
        let now = node.clock.now();
        node.throttle().refused(now, caller, after);
    }
}

/// Tells repeats of one request of one caller from everything else.
///
/// A connection may carry many callers, so a request without an identifier of its own is nobody's
/// repeat.
fn caller_id(caller: SocketAddr, map: &HeaderMap) -> Option<CallerId> {
    let id = map
        .get(headers::IDEMPOTENCY_KEY)
        .or_else(|| map.get(headers::REQUEST_ID))?;
    let seed = stable_hash(0, caller.ip().to_string().as_bytes());
    Some(CallerId(stable_hash(seed, id.as_bytes())))
}

async fn enter(node: &Arc<Shared>, req: Taken) -> Result<Response<Body>, Rejected> {
    check_version(req.version)?;
    let (service, path) = split_path(&req.uri)?;
    let document = node.document.get();
    let spec = document
        .service(&service)
        .ok_or_else(|| unknown_service(&service))?;
    let kind = spec.classify(req.method.as_str(), path.path());
    let now = node.clock.now();
    let deadline = now + asked_deadline(&req.headers, kind)?;
    let root = RootId(rand::rng().random());
    let cx = RequestContext::new(root, kind.importance, deadline, kind.idempotency);
    let key = read_key(&req.headers, kind)?;
    if !node.phase.is_serving() {
        return Err(unasked(key, Refusal::new(ErrorKind::NodeDraining)).into());
    }
    let state = node.services.get(now, &service);
    let kind_id = kind_id(spec, kind);
    // Whether a key ran before is known at its home only, which sheds it truthfully.
    if key.is_none() {
        check_throttle(node, &req, cx.importance)?;
        state.check_entry(now, kind_id, cx.priority)?;
    }
    let call = CallRequest {
        service,
        kind: kind_id,
        method: req.method,
        path,
        headers: outgoing_headers(req.headers),
        body: read_body(node, req.body, kind, &cx).await?,
        key,
    };
    let guard = OpenRequest::open(node, cx, kind_id, retry_allowance(kind));
    let dispatch = Dispatch {
        node,
        service: state,
        call,
        cx,
        payer: guard.req,
    };
    let answer = dispatch.run().await;
    guard.answered();
    Ok(answer?)
}

fn check_throttle(node: &Shared, req: &Taken, importance: Importance) -> Result<(), Refusal> {
    let now = node.clock.now();
    match caller_id(req.sender, &req.headers) {
        Some(caller) => node
            .throttle()
            .check(now, &mut rand::rng(), caller, importance),
        None => Ok(()),
    }
}

/// The refusal of a request for which nobody was asked: an earlier attempt of a key may have run.
pub fn unasked(key: Option<IdempotencyKey>, refusal: Refusal) -> Refusal {
    let not_run = refusal.kind.answer().run_state == RunState::NotRun;
    match key {
        Some(_) if not_run => Refusal {
            kind: ErrorKind::HomeUnavailable,
            ..refusal
        },
        _ => refusal,
    }
}

/// Rejection of a path that names no service of the document.
pub fn unknown_service(service: &ServiceName) -> Rejected {
    let detail = format!("path: `{service}` is not a service");
    Rejected::new(ErrorKind::UnknownService, detail)
}

/// Refuses protocols that end an answer of unknown length by closing the connection.
///
/// # Errors
///
/// A refusal of kind [`ErrorKind::ProtocolTooOld`].
pub fn check_version(version: Version) -> Result<(), Refusal> {
    match version < Version::HTTP_11 {
        true => Err(Refusal::new(ErrorKind::ProtocolTooOld)),
        false => Ok(()),
    }
}

/// Splits `/<service>/<path>` into the service and the path for its backend server.
///
/// # Errors
///
/// A rejection that names the path and the reason.
pub fn split_path(uri: &Uri) -> Result<(ServiceName, PathAndQuery), Rejected> {
    let reject = |reason: &str| Rejected::new(ErrorKind::InvalidRequest, format!("path: {reason}"));
    let full = uri
        .path_and_query()
        .map_or("/", PathAndQuery::as_str)
        .strip_prefix('/')
        .ok_or_else(|| reject("must begin with /"))?;
    let end = full.find(['/', '?']).unwrap_or(full.len());
    let (name, rest) = full.split_at(end);
    let service = ServiceName::try_from(name)
        .map_err(|e| reject(&format!("must begin with the name of a service, which {e}")))?;
    let rest = match rest.starts_with('/') {
        true => rest.to_owned(),
        false => format!("/{rest}"),
    };
    let path = PathAndQuery::try_from(rest).map_err(|_| reject("is malformed"))?;
    Ok((service, path))
}

/// Time that the caller gives, or the kind's own.
///
/// # Errors
///
/// A rejection that names the header and the reason.
pub fn asked_deadline(map: &HeaderMap, kind: &KindSpec) -> Result<Duration, Rejected> {
    if !map.contains_key(headers::DEADLINE_MS) {
        return Ok(kind.limits.deadline);
    }
    let millis = headers::parse(map, &headers::DEADLINE_MS).map(Duration::from_millis);
    match millis {
        Some(asked) if !asked.is_zero() && asked <= DEADLINE_MAX => Ok(asked),
        _ => Err(Rejected::new(
            ErrorKind::InvalidRequest,
            "rhubarblanding-deadline-ms: must be a whole number from 1 to 86400000",
        )),
    }
}

/// Key of a non-idempotent call; an idempotent one needs none.
///
/// # Errors
///
/// A rejection that names the header and the reason.
pub fn read_key(map: &HeaderMap, kind: &KindSpec) -> Result<Option<IdempotencyKey>, Rejected> {
    if kind.idempotency == Idempotency::Idempotent {
        return Ok(None);
    }
    let Some(raw) = map.get(headers::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = IdempotencyKey::try_from(raw.to_str().unwrap_or_default())
        .map_err(|e| Rejected::new(ErrorKind::InvalidKey, e.to_string()))?;
    Ok(Some(key))
}

/// Greatest size in bytes of a request body of this kind.
pub fn body_limit(kind: &KindSpec) -> usize {
    usize::try_from(kind.limits.max_body_bytes).unwrap_or(usize::MAX)
}

fn retry_allowance(kind: &KindSpec) -> u8 {
    u8::try_from(kind.limits.retry_allowance).unwrap_or(u8::MAX)
}

/// Headers that go on to the backend server.
pub fn outgoing_headers(mut map: HeaderMap) -> HeaderMap {
    headers::strip_hop_by_hop(&mut map);
    headers::strip_system(&mut map);
    map.remove(http::header::HOST);
    map.remove(http::header::CONTENT_LENGTH);
    map.remove(http::header::EXPECT);
    map
}

/// Reads the request body whole.
///
/// # Errors
///
/// A rejection if it is too large, broken off, or not whole by the deadline.
pub async fn read_body(
    node: &Shared,
    body: Body,
    kind: &KindSpec,
    cx: &RequestContext,
) -> Result<bytes::Bytes, Rejected> {
    let limit = body_limit(kind);
    let deadline = node.clock.instant(cx.deadline);
    let read = tokio::time::timeout_at(deadline, body::read_whole(body, limit)).await;
    let read = read.unwrap_or(Err(body::ReadError::Cut));
    read.map_err(|e| match e {
        body::ReadError::TooLarge => Rejected::new(
            ErrorKind::BodyTooLarge,
            format!("body: must have at most {limit} bytes"),
        ),
        body::ReadError::Cut => Rejected::new(
            ErrorKind::InvalidRequest,
            "body: ended, or its deadline passed, before its length",
        ),
    })
}

/// A request in the registry; it is closed on drop.
pub struct OpenRequest<'a> {
    node: &'a Arc<Shared>,
    /// The request.
    pub req: RequestRef,
    answered: bool,
}

impl<'a> OpenRequest<'a> {
    /// Opens a request that may cause `allowance` retries.
    pub fn open(node: &'a Arc<Shared>, cx: RequestContext, kind: KindId, allowance: u8) -> Self {
        Self {
            node,
            req: node.registry.open(cx, kind, allowance),
            answered: false,
        }
    }

    /// The request has its answer or refusal.
    pub fn answered(mut self) {
        self.answered = true;
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.node.registry.close(self.node.clock.now(), self.req);
        if !self.answered {
            self.node.counters.event(Event::Cancelled);
        }
    }
}
