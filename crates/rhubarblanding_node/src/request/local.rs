//! The face for the backend server on this host: announcement, drain and downstream calls.

use std::sync::Arc;

use http::{HeaderMap, Response, StatusCode, Uri};
use rand::Rng;
use rhubarblanding_admission::prelude::KindId;
use rhubarblanding_core::prelude::*;
use rhubarblanding_request::prelude::*;
use serde::{Deserialize, Serialize};

use super::dispatch::Dispatch;
use super::entry::{
    OpenRequest, Rejected, asked_deadline, check_version, outgoing_headers, read_body, read_key,
    split_path, unasked, unknown_service,
};
use super::faces::Taken;
use super::{CallRequest, RequestRef, answer, body, headers};
use crate::connection::Body;
use crate::process::{Event, Shared};
use crate::version::kind_id;

/// Kind of a downstream call that no running request makes.
const ORPHAN_KIND: KindId = KindId(KindId::MAX);
/// Path prefix of downstream calls.
const CALL_PREFIX: &str = "/call";
/// Greatest size of an announcement in bytes.
const ANNOUNCEMENT_MAX_BYTES: usize = 16 * 1024;
/// Greatest number of slots that a backend server may announce.
const SLOTS_MAX: u32 = 1_000_000;

/// What a backend server says of itself, repeated as its heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Address on which it takes requests.
    pub address: Option<std::net::SocketAddr>,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Life cycle; serving if it is left out.
    #[serde(default)]
    pub state: Option<TargetState>,
}

/// Takes an announcement.
pub async fn announce_face(node: Arc<Shared>, req: Taken) -> Response<Body> {
    let answer = announce(&node, req.body).await;
    or_refusal(&node, answer)
}

/// Takes the message that the backend server is leaving.
pub async fn drain_face(node: Arc<Shared>, _: Taken) -> Response<Body> {
    node.backend_state(TargetState::Draining, None);
    answer::json(StatusCode::OK, &())
}

/// Answers a downstream call.
pub async fn call_face(node: Arc<Shared>, req: Taken) -> Response<Body> {
    let answer = downstream(&node, req).await;
    or_refusal(&node, answer)
}

fn or_refusal(node: &Shared, answer: Result<Response<Body>, Rejected>) -> Response<Body> {
    answer.unwrap_or_else(|rejected| {
        node.counters.refusal(rejected.refusal.kind);
        answer::refusal(rejected.refusal, rejected.detail.as_deref())
    })
}

async fn announce(node: &Arc<Shared>, body: Body) -> Result<Response<Body>, Rejected> {
    let reject = |detail: String| Rejected::new(ErrorKind::InvalidRequest, detail);
    let bytes = body::read_whole(body, ANNOUNCEMENT_MAX_BYTES)
        .await
        .map_err(|_| {
            reject(format!(
                "body: must have at most {ANNOUNCEMENT_MAX_BYTES} bytes"
            ))
        })?;
    let announcement: Announcement = rhubarblanding_tickets::ticket::from_json(&bytes)
        .map_err(|e| reject(format!("body: {e}")))?;
    if !(1..=SLOTS_MAX).contains(&announcement.slots) {
        return Err(reject(format!("slots: must be from 1 to {SLOTS_MAX}")));
    }
    if let Some(addr) = announcement.address
        && addr != node.backend.addr()
    {
        let expected = node.backend.addr();
        return Err(reject(format!("address: this node serves {expected}")));
    }
    let state = announcement.state.unwrap_or(TargetState::Serving);
    node.announced(state, announcement.slots);
    Ok(answer::json(StatusCode::OK, &()))
}

async fn downstream(node: &Arc<Shared>, req: Taken) -> Result<Response<Body>, Rejected> {
    node.counters.event(Event::LocalCall);
    check_version(req.version)?;
    let uri = without_prefix(&req.uri)?;
    let (service, path) = split_path(&uri)?;
    let document = node.document.get();
    let spec = document
        .service(&service)
        .ok_or_else(|| unknown_service(&service))?;
    let kind = spec.classify(req.method.as_str(), path.path());
    let now = node.clock.now();
    let deadline = now + asked_deadline(&req.headers, kind)?;
    let parent = parent(node, &req.headers);
    let cx = match &parent {
        Some((_, cx)) => cx.downstream(deadline, kind.idempotency),
        None => {
            let root = RootId(rand::rng().random());
            RequestContext::new(root, kind.importance, deadline, kind.idempotency)
        }
    };
    let key = read_key(&req.headers, kind)?;
    if cx.is_expired(now) {
        return Err(unasked(key, Refusal::new(ErrorKind::DeadlineBeforeRun)).into());
    }
    let call = CallRequest {
        service,
        kind: kind_id(spec, kind),
        method: req.method,
        path,
        headers: outgoing_headers(req.headers),
        body: read_body(node, req.body, kind, &cx).await?,
        key,
    };
    let state = node.services.get(now, &call.service);
    if let Some((req, _)) = &parent {
        node.registry.note_call(*req, &state, call.kind);
    }
    // Whether a key ran before is known at its home only, which sheds it truthfully.
    if call.key.is_none() {
        state.check_entry(now, call.kind, cx.priority)?;
    }
    // A call without a known request may cause no retries.
    let orphan = parent
        .is_none()
        .then(|| OpenRequest::open(node, cx, ORPHAN_KIND, 0));
    let payer = match (&parent, &orphan) {
        (Some((req, _)), _) => *req,
        (None, Some(orphan)) => orphan.req,
        (None, None) => return Err(Refusal::new(ErrorKind::Internal).into()),
    };
    charge_repeat(node, payer, &call).map_err(|refusal| unasked(call.key, refusal))?;
    let _time = DownstreamTime::start(node, payer);
    let dispatch = Dispatch {
        node,
        service: state,
        call,
        cx,
        payer,
    };
    let answer = dispatch.run().await;
    if let Some(orphan) = orphan {
        orphan.answered();
    }
    Ok(answer?)
}

fn without_prefix(uri: &Uri) -> Result<Uri, Rejected> {
    let reject = || {
        Rejected::new(
            ErrorKind::InvalidRequest,
            "path: must be /call/<service>/...",
        )
    };
    let full = uri.path_and_query().map_or("", |path| path.as_str());
    let rest = full.strip_prefix(CALL_PREFIX).ok_or_else(reject)?;
    rest.parse().map_err(|_| reject())
}

fn parent(node: &Arc<Shared>, map: &HeaderMap) -> Option<(RequestRef, RequestContext)> {
    let text: Option<String> = headers::parse(map, &headers::TOKEN);
    let found = text.and_then(|text| node.registry.find(&text));
    if found.is_none() {
        node.counters.event(Event::UnknownToken);
    }
    found
}

fn charge_repeat(node: &Shared, payer: RequestRef, call: &CallRequest) -> Result<(), Refusal> {
    match node.registry.begin_call(payer, call.digest()) {
        CallStart::First => Ok(()),
        CallStart::Repeat => {
            node.counters.retry(RetryReason::BackendRepeat);
            Ok(())
        }
        CallStart::Refused => Err(Refusal::new(ErrorKind::RetryExhausted)),
    }
}

/// Counts the time of a downstream call towards the request that makes it.
struct DownstreamTime<'a> {
    node: &'a Shared,
    req: RequestRef,
}

impl<'a> DownstreamTime<'a> {
    fn start(node: &'a Shared, req: RequestRef) -> Self {
        node.registry.downstream_started(node.clock.now(), req);
        Self { node, req }
    }
}

impl Drop for DownstreamTime<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        self.node.registry.downstream_ended(now, self.req);
    }
}
