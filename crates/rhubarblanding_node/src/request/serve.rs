//! The face for other nodes: a call reaches the node of its target.

use std::sync::Arc;

use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use rhubarblanding_admission::prelude::KindId;
use rhubarblanding_core::prelude::*;

use super::backend::{self, BackendAnswer, BackendError, BackendRequest};
use super::entry::{Rejected, body_limit};
use super::{Hop, RequestRef, answer, body, headers, keyed_run, load_header};
use crate::connection::Body;
use crate::process::{Event, Shared};
use crate::version::kind_id;

/// Greatest size in bytes of a request body whose kind is not known here.
const UNKNOWN_BODY_MAX_BYTES: usize = 16 << 20;

/// Answers a call of another node.
pub async fn serve_peer(node: Arc<Shared>, req: Request<Incoming>) -> Response<Body> {
    node.counters.event(Event::PeerCall);
    let mut level = AdmissionLevel::OPEN;
    let mut resp = match accept(&node, req, &mut level).await {
        Ok(resp) => resp,
        Err(rejected) => {
            node.counters.refusal(rejected.refusal.kind);
            answer::refusal(rejected.refusal, rejected.detail.as_deref())
        }
    };
    let out = resp.headers_mut();
    let mut report = node.load_report();
    report.level = report.level.max(level);
    out.insert(headers::LOAD, headers::value(load_header::write(&report)));
    let document = node.document.version();
    out.insert(headers::DOCUMENT, headers::value(document.0));
    if let Some(version) = node.once.table_version() {
        out.insert(headers::TABLE, headers::value(version.0));
    }
    resp
}

/// A call as the target's node holds it.
struct Served {
    hop: Hop,
    key: Option<IdempotencyKey>,
    /// What the document in force here says, if it knows the kind.
    idempotency: Option<Idempotency>,
    backend: BackendRequest,
}

/// Serves a call; `level` becomes the lowest priority that the services further down admit.
async fn accept(
    node: &Arc<Shared>,
    req: Request<Incoming>,
    level: &mut AdmissionLevel,
) -> Result<Response<Body>, Rejected> {
    let served = read(node, req).await?;
    node.note_document(served.hop.from, served.hop.document);
    if let Some(kind) = unwilling(node, &served) {
        node.counters.refusal(kind);
        let mut resp = answer::refusal(Refusal::new(kind), None);
        let left = headers::value(served.hop.allowance);
        resp.headers_mut().insert(headers::ALLOWANCE_LEFT, left);
        return Ok(resp);
    }
    let cx = served.hop.cx;
    let running = node
        .registry
        .open(cx, served.backend.kind, served.hop.allowance);
    let mut guard = OpenServed {
        node: Arc::clone(node),
        req: running,
        open: true,
    };
    let kind = served.backend.kind;
    let answer = match served.key {
        Some(key) => {
            let role = served.hop.role;
            keyed_run::run(node, served.backend, role, key, running).await
        }
        None => run_unkeyed(node, &served.backend, running).await,
    };
    let left = guard.close();
    *level = node.registry.downstream_level(node.clock.now(), kind);
    let mut resp = answer.unwrap_or_else(|refusal| {
        node.counters.refusal(refusal.kind);
        answer::refusal(refusal, None)
    });
    let out = resp.headers_mut();
    out.insert(headers::ALLOWANCE_LEFT, headers::value(left));
    let makes_calls = u8::from(node.registry.makes_calls(kind));
    out.insert(headers::MAKES_CALLS, headers::value(makes_calls));
    Ok(resp)
}

/// Why this node does not take the call, if it does not.
fn unwilling(node: &Shared, served: &Served) -> Option<ErrorKind> {
    if node.is_leaving() {
        return Some(ErrorKind::TargetDraining);
    }
    if node.target_state() == TargetState::Starting {
        return Some(ErrorKind::NoTarget);
    }
    let stale = served.hop.document < node.document.version();
    let sent_as = served.hop.cx.idempotency;
    let relaxed = sent_as == Idempotency::Idempotent && served.idempotency != Some(sent_as);
    (stale && relaxed && served.idempotency.is_some()).then_some(ErrorKind::StaleDocument)
}

async fn read(node: &Arc<Shared>, req: Request<Incoming>) -> Result<Served, Rejected> {
    let reject = |detail: &str| Rejected::new(ErrorKind::InvalidRequest, detail);
    let now = node.clock.now();
    let (parts, inner) = req.into_parts();
    let hop = Hop::read(now, &parts.headers).map_err(reject)?;
    let service: Option<String> = headers::parse(&parts.headers, &headers::SERVICE);
    if service.as_deref() != Some(node.settings.service.as_str()) {
        return Err(Rejected::new(
            ErrorKind::NoTarget,
            "rhubarblanding-service: this host serves another service",
        ));
    }
    let path = parts
        .uri
        .path_and_query()
        .cloned()
        .ok_or_else(|| reject("path: must be given"))?;
    let key = read_key(&parts.headers, hop.cx.idempotency)?;
    let (kind, limit, idempotency) = classify(node, parts.method.as_str(), path.path());
    let body = body::read_whole(inner, limit)
        .await
        .map_err(|_| reject("body: is too large or ended before its length"))?;
    let mut map = parts.headers;
    headers::strip_hop_by_hop(&mut map);
    headers::strip_system(&mut map);
    Ok(Served {
        hop,
        key,
        idempotency,
        backend: BackendRequest {
            method: parts.method,
            path,
            headers: map,
            body,
            cx: hop.cx,
            kind,
        },
    })
}

/// Number of the request's kind, the greatest size of its body in bytes, and whether it may run
/// twice, by the document in force here.
fn classify(node: &Shared, method: &str, path: &str) -> (KindId, usize, Option<Idempotency>) {
    let document = node.document.get();
    match document.service(&node.settings.service) {
        Some(spec) => {
            let kind = spec.classify(method, path);
            (
                kind_id(spec, kind),
                body_limit(kind),
                Some(kind.idempotency),
            )
        }
        // The sender's document is newer; its entry node has checked the size.
        None => (KindId(KindId::MAX), UNKNOWN_BODY_MAX_BYTES, None),
    }
}

fn read_key(map: &HeaderMap, idempotency: Idempotency) -> Result<Option<IdempotencyKey>, Rejected> {
    let Some(raw) = map.get(headers::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    if idempotency == Idempotency::Idempotent {
        return Ok(None);
    }
    IdempotencyKey::try_from(raw.to_str().unwrap_or_default())
        .map(Some)
        .map_err(|e| Rejected::new(ErrorKind::InvalidKey, e.to_string()))
}

async fn run_unkeyed(
    node: &Arc<Shared>,
    req: &BackendRequest,
    running: RequestRef,
) -> Result<Response<Body>, Refusal> {
    let pass = backend::admit(node, req).await?;
    let answer = backend::send(node, req, running, pass, req.cx.deadline)
        .await
        .map_err(BackendError::refusal)?;
    Ok(stream(answer))
}

/// Passes the backend server's answer on as it comes.
fn stream(answer: BackendAnswer) -> Response<Body> {
    let (mut parts, inner) = answer.resp.into_parts();
    headers::strip_hop_by_hop(&mut parts.headers);
    headers::strip_system(&mut parts.headers);
    Response::from_parts(parts, body::guarded(inner, answer.running))
}

/// A served call in the registry; it is closed on drop.
struct OpenServed {
    node: Arc<Shared>,
    req: RequestRef,
    open: bool,
}

impl OpenServed {
    fn close(&mut self) -> u8 {
        self.open = false;
        self.node.registry.close(self.node.clock.now(), self.req)
    }
}

impl Drop for OpenServed {
    fn drop(&mut self) {
        if self.open {
            self.close();
            self.node.counters.event(Event::Cancelled);
        }
    }
}
