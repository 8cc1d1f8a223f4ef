//! Second hop of a request: from the node beside a target to the target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::request::body::EndGuard;
use rhubarblanding_request::suspect::{CrashId, Fingerprint, SuspectVerdict};
use tokio::sync::SemaphorePermit;
use tokio::time::Instant;

use super::content;
use super::headers::strip_connection_headers;
use super::hop::{HopOutcome, HopReply, HopRequest};
use super::small_body::{self, SmallBody};
use crate::connection::{BackendConn, ExchangeError, Payload};
use crate::process::{Lineage, Shared, SlotPermit};
use crate::protocol::Instance;

/// Time beyond the deadline for which the target's own answer is awaited.
const DEADLINE_GRACE: Duration = Duration::from_millis(30);
/// Time beyond the deadline after which a streamed answer is broken off: bytes of a faulty target may
/// come without end. The client has left by then.
pub(super) const STREAM_GRACE: Duration = Duration::from_millis(300);
/// `Retry-After` of a request that found no time at which it would have run alone.
const ISOLATION_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum number of connections tried for one request. The next one is tried only if nothing was
/// sent on the last.
const CONNECT_ATTEMPTS: usize = 3;

/// Passes a request through the admission gate and sends it to the local target.
pub async fn serve_local(node: Arc<Shared>, hop: HopRequest) -> HopReply {
    let now = node.clock.now();
    let times = (now + hop.header.objective, now + hop.header.deadline);
    let mut report = RunReport::default();
    let (known, kind) = (hop.notice, hop.header.kind);
    if let Some(known) = known {
        node.local.adopt_notice(&node, known);
    }
    let outcome = admit(&node, hop, times, &mut report).await;
    HopReply {
        outcome,
        call_failed: report.call_failed,
        load: Some(node.local.load_for(node.clock.now(), kind)),
        notice: node.local.shared_notice(known),
        crash: report.crash,
    }
}

/// Runs a request if it is admitted.
async fn admit(
    node: &Arc<Shared>,
    hop: HopRequest,
    (objective, deadline): (MonoTime, MonoTime),
    report: &mut RunReport,
) -> HopOutcome {
    let admitted = async {
        let in_time = || node.late_start(hop.header.kind).map_or(Ok(()), Err);
        in_time()?;
        let isolation = isolate(node, &hop, objective).await?;
        let id = hop.headers.get(&node.protocol.headers().request_id);
        let acquiring = node
            .local
            .acquire(node, &hop.header, id, (objective, deadline));
        let permit = acquiring.await?;
        in_time()?;
        // Targets may have crashed while the request waited for its slot.
        let now = node.clock.now();
        match node.suspects.refusal(now, || fingerprint_of(node, &hop)) {
            Some(refusal) => Err(refusal),
            None => Ok((permit, isolation)),
        }
    };
    match admitted.await {
        Ok((permit, _isolation)) => run(node, hop, permit, report).await,
        Err(refusal) => {
            let refusal = node.refusal_within(deadline, refusal);
            let id = hop.headers.get(&node.protocol.headers().request_id);
            node.log_admission_refusal(id, &hop.header, refusal);
            HopOutcome::Refused(refusal)
        }
    }
}

/// Refuses a request that crashes targets, and lets one that may do so wait until it is the only one
/// of them here.
async fn isolate<'a>(
    node: &'a Shared,
    hop: &HopRequest,
    objective: MonoTime,
) -> Result<Option<SemaphorePermit<'a>>, Refusal> {
    let verdict = || {
        let now = node.clock.now();
        node.suspects.verdict(now, || fingerprint_of(node, hop))
    };
    let refuse = |left| Err(Refusal::with_retry_after(ErrorKind::CrashesTargets, left));
    match verdict() {
        SuspectVerdict::Allowed => return Ok(None),
        SuspectVerdict::Isolated => {}
        SuspectVerdict::Refused(left) => return refuse(left),
    }
    let permit = tokio::select! {
        biased;
        permit = node.suspects.isolate() => permit,
        () = node.expired(objective, Duration::ZERO) => {
            return Err(Refusal::with_retry_after(
                ErrorKind::Overloaded,
                ISOLATION_RETRY_AFTER,
            ));
        }
    };
    // The one before may have been the same request.
    match verdict() {
        SuspectVerdict::Refused(left) => refuse(left),
        SuspectVerdict::Allowed | SuspectVerdict::Isolated => Ok(permit),
    }
}

fn fingerprint_of(node: &Shared, hop: &HopRequest) -> Fingerprint {
    let target = (&hop.method, &hop.uri, &*hop.header.host);
    content::fingerprint(node, target, &hop.headers, &hop.body)
}

/// Facts about the run of a request besides its outcome.
#[derive(Default)]
struct RunReport {
    /// `true` if the target failed because a call that it made had failed.
    call_failed: bool,
    /// Crash of the target that ended the run, if the request may be the cause.
    crash: Option<CrashId>,
}

/// Sends an admitted request to the target and waits for its answer.
async fn run(
    node: &Arc<Shared>,
    hop: HopRequest,
    permit: SlotPermit,
    report: &mut RunReport,
) -> HopOutcome {
    let deadline = permit.deadline();
    let id = hop
        .headers
        .get(&node.protocol.headers().request_id)
        .cloned();
    tokio::select! {
        biased;
        outcome = attempt(node, hop, permit, report) => outcome,
        () = node.expired(deadline, DEADLINE_GRACE) => {
            let (reason, kind) = match node.limit_deadline(deadline) < deadline {
                false => ("deadline", ErrorKind::DeadlineExceeded),
                // Its sender may have time left for another target.
                true => ("node_stops", ErrorKind::ConnectionLost),
            };
            node.log_target_failure(id.as_ref(), reason);
            HopOutcome::Lost(kind)
        }
    }
}

async fn attempt(
    node: &Arc<Shared>,
    hop: HopRequest,
    mut permit: SlotPermit,
    report: &mut RunReport,
) -> HopOutcome {
    let deadline = permit.deadline();
    let id = hop
        .headers
        .get(&node.protocol.headers().request_id)
        .cloned();
    let lineage = Lineage {
        rank: hop.header.rank,
        account: hop.header.account,
        objective: node.clock.now() + hop.header.objective,
        repeated: hop.header.repeated,
        calls_left: hop.header.calls_left,
    };
    let id_bytes = id.as_ref().map_or(&[][..], HeaderValue::as_bytes);
    let mut running = node
        .local
        .record_running(node, id_bytes, hop.header.kind, lineage);
    let (host, body) = (hop.header.host.clone(), hop.body.clone());
    let mut req = build_request(node, hop, &permit);
    let addr = node.settings().target_addr;
    let deadline_name = &node.protocol.headers().deadline_ms;
    for _ in 0..CONNECT_ATTEMPTS {
        let mut conn = match node.backend.get(addr).await {
            Ok(conn) => conn,
            Err(e) => {
                node.log_target_failure(id.as_ref(), &e.to_string());
                node.local.record_unreachable(node);
                return HopOutcome::Refused(Refusal::new(ErrorKind::ConnectFailed));
            }
        };
        // The process may have been paused since the decision, or the connection slow to open.
        let now = node.clock.now();
        if now >= deadline {
            node.backend.put(conn);
            return HopOutcome::Refused(Refusal::new(ErrorKind::DeadlineBeforeRun));
        }
        let left = now.until(deadline).as_millis().to_string();
        set_header(req.headers_mut(), deadline_name.clone(), &left);
        match conn.exchange(req.clone()).await {
            Ok(resp) => {
                report.call_failed = node.local.has_failed_call(id_bytes);
                if resp.status().is_success() {
                    running.succeeded();
                }
                let limit = node.clock.instant(deadline + STREAM_GRACE);
                let sent = Sent {
                    id: id.as_ref(),
                    at: now,
                    limit,
                };
                let outcome = receive(node, conn, resp, &mut permit, sent).await;
                match &outcome {
                    HopOutcome::Answered(resp) if is_completed(resp) => {
                        let fingerprint = fingerprint_sent(node, &req, (&host, &body));
                        node.suspects.record_served(now, fingerprint);
                    }
                    HopOutcome::Lost(ErrorKind::ConnectionLost) => {
                        report.crash = find_crash(node, &permit, &req, (&host, &body)).await;
                    }
                    _ => {}
                }
                return outcome;
            }
            Err(ExchangeError::NotSent) => {}
            Err(e) => {
                if e.is_garbled() {
                    node.backend.record_garbled();
                }
                node.log_target_failure(id.as_ref(), &e.to_string());
                report.crash = find_crash(node, &permit, &req, (&host, &body)).await;
                return HopOutcome::Lost(ErrorKind::ConnectionLost);
            }
        }
    }
    node.log_target_failure(id.as_ref(), "connections_closed");
    HopOutcome::Refused(Refusal::new(ErrorKind::ConnectFailed))
}

/// Returns the crash of the target that ended a request without an answer, if the target crashed and
/// the request may be the cause.
async fn find_crash(
    node: &Shared,
    permit: &SlotPermit,
    req: &Request<Full<Bytes>>,
    (host, body): (&str, &Bytes),
) -> Option<CrashId> {
    let crash = node.crashes.crash_of(node, permit.instance()).await?;
    let fingerprint = fingerprint_sent(node, req, (host, body));
    let id = req.headers().get(&node.protocol.headers().request_id);
    node.log_crash(id, permit.instance(), fingerprint);
    let now = node.clock.now();
    let is_suspect = node.suspects.record_crash(now, crash, fingerprint);
    is_suspect.then_some(crash)
}

/// Returns `true` if the target ran a request to its end.
pub(super) fn is_completed(resp: &Response<Payload>) -> bool {
    resp.status().is_success() && resp.body().is_complete()
}

/// Returns the fingerprint of a request as it was sent to the target.
fn fingerprint_sent(
    node: &Shared,
    req: &Request<Full<Bytes>>,
    (host, body): (&str, &Bytes),
) -> Fingerprint {
    let target = (req.method(), req.uri(), host);
    content::fingerprint(node, target, req.headers(), body)
}

/// Builds the request that is sent to the target, without its deadline.
fn build_request(node: &Shared, hop: HopRequest, permit: &SlotPermit) -> Request<Full<Bytes>> {
    let names = node.protocol.headers();
    let mut req = Request::new(Full::new(hop.body));
    *req.method_mut() = hop.method;
    *req.uri_mut() = hop.uri;
    *req.headers_mut() = hop.headers;
    let headers = req.headers_mut();
    headers.remove(header::CONTENT_LENGTH);
    set_header(headers, header::HOST, &hop.header.host);
    set_header(
        headers,
        names.expected_instance.clone(),
        &permit.instance().id.0,
    );
    req
}

fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    match HeaderValue::try_from(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(e) => log::warn!(header:% = name, reason:% = e; "header_not_set"),
    }
}

/// Request that was sent to the target.
struct Sent<'a> {
    id: Option<&'a HeaderValue>,
    at: MonoTime,
    /// Time at which a streamed answer is broken off.
    limit: Instant,
}

/// Reads the answer of the target; buffers it if it is small.
async fn receive(
    node: &Arc<Shared>,
    conn: BackendConn,
    resp: Response<Incoming>,
    permit: &mut SlotPermit,
    Sent { id, at, limit }: Sent<'_>,
) -> HopOutcome {
    let names = node.protocol.headers();
    let (mut parts, body) = resp.into_parts();
    if parts.headers.get(&names.request_id) != id {
        node.backend.record_garbled();
        node.log_target_failure(id, "answer_of_another_request");
        return HopOutcome::Lost(ErrorKind::ConnectionLost);
    }
    let notice = node.protocol.notice(&parts.headers);
    node.local
        .observe_notice(node, permit.instance(), at, notice);
    let meter = conn.meter();
    let read = small_body::read(body, &node.answer_pool, Some(&meter));
    let body = match read.await {
        Ok(body) => body,
        Err(e) => {
            if ExchangeError::from(e).is_garbled() {
                node.backend.record_garbled();
            }
            node.log_target_failure(id, "answer_cut");
            return HopOutcome::Lost(ErrorKind::ConnectionLost);
        }
    };
    permit.answered(parts.status);
    // A connection with an answer that is not read to its end is closed.
    let conn = match &body {
        SmallBody::Complete(_) => {
            node.backend.put(conn);
            None
        }
        SmallBody::Partial(..) => Some(conn),
    };
    if let Some(outcome) = unusable(node, &parts, permit.instance(), id) {
        return outcome;
    }
    strip_connection_headers(&mut parts.headers);
    let payload = match body {
        SmallBody::Complete(bytes) => {
            parts.headers.remove(header::CONTENT_LENGTH);
            Payload::buffered(bytes)
        }
        SmallBody::Partial(first, rest) => {
            let guard = StreamGuard {
                node: Arc::clone(node),
                conn,
                _permit: permit.take(),
            };
            let payload = Payload::stream(first, rest, limit).metered(meter);
            payload.guarded(Box::new(guard))
        }
    };
    HopOutcome::Answered(Response::from_parts(parts, payload))
}

/// Returns the outcome of an answer that is not passed on, however large its body is.
fn unusable(
    node: &Arc<Shared>,
    parts: &http::response::Parts,
    instance: &Instance,
    id: Option<&HeaderValue>,
) -> Option<HopOutcome> {
    if parts.headers.contains_key(header::CONTENT_ENCODING) {
        // No request accepts a content encoding, so this is not the target's body.
        node.backend.record_garbled();
        node.log_target_failure(id, "encoded_answer");
        return Some(HopOutcome::Lost(ErrorKind::ConnectionLost));
    }
    let signature = &node.protocol.headers().signature;
    if parts.status.is_success() && !parts.headers.contains_key(signature) {
        node.backend.record_garbled();
        node.log_target_failure(id, "unsigned_success");
        return Some(HopOutcome::Lost(ErrorKind::ConnectionLost));
    }
    if is_not_run(node, parts.status, &parts.headers) {
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            node.local.record_misdirected(node, &instance.id);
        }
        return Some(HopOutcome::Shed(Refusal::new(ErrorKind::BackendShed)));
    }
    None
}

/// Returns `true` if the target reports that it did not run the request.
fn is_not_run(node: &Shared, status: StatusCode, headers: &HeaderMap) -> bool {
    let is_marked = headers.contains_key(&node.protocol.headers().not_executed);
    status == StatusCode::MISDIRECTED_REQUEST || (is_marked && !status.is_success())
}

/// Holds the slot and the connection until a streamed answer has ended.
struct StreamGuard {
    node: Arc<Shared>,
    conn: Option<BackendConn>,
    _permit: Option<SlotPermit>,
}

impl EndGuard for StreamGuard {
    fn ended(&mut self, complete: bool) {
        if let Some(conn) = self.conn.take()
            && complete
        {
            self.node.backend.put(conn);
        }
    }
}
