//! First hop of a request: from the entry node to the node beside a target.

use std::sync::Arc;

use http::header::HeaderValue;
use http::{Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use rhubarblanding_core::prelude::*;
use tokio::time::Instant;

use super::hop::{
    ANSWER_HEADER, HopOutcome, HopReply, HopRequest, HopResult, HopStatus, REQUEST_HEADER,
    set_notice, take_crash, take_notice,
};
use super::serve::{STREAM_GRACE, serve_local};
use super::small_body::{self, SmallBody};
use crate::connection::{Payload, PeerError, is_final_status};
use crate::process::{Shared, ask_along, learn};

/// Sends a request to the node on `host`, which may be this node.
pub(super) async fn forward(node: &Arc<Shared>, host: HostId, hop: HopRequest) -> HopReply {
    if host == node.host_id() {
        return serve_local(Arc::clone(node), hop).await;
    }
    let limit = Instant::now() + hop.header.deadline + STREAM_GRACE;
    let Some(mut req) = build_request(host, hop) else {
        log::warn!(host:% = host; "request_not_encoded");
        return reply(HopOutcome::Refused(Refusal::new(ErrorKind::RefusedByNode)));
    };
    let asked_at = ask_along(node, req.headers_mut());
    let id = req.headers().get(&node.protocol.headers().request_id);
    let _open = id.map(|id| node.hops.begin(host, id.clone()));
    match node.peers.send(host.0, req).await {
        Ok(mut resp) => {
            learn(node, host, resp.headers_mut(), asked_at);
            receive(node, host, resp, limit).await
        }
        Err(PeerError::NotSent | PeerError::Refused) => {
            reply(HopOutcome::Refused(Refusal::new(ErrorKind::ConnectFailed)))
        }
        Err(PeerError::Lost) => reply(HopOutcome::Lost(ErrorKind::ConnectionLost)),
    }
}

fn reply(outcome: HopOutcome) -> HopReply {
    HopReply {
        outcome,
        call_failed: false,
        load: None,
        notice: None,
        crash: None,
    }
}

fn build_request(host: HostId, hop: HopRequest) -> Option<Request<Full<bytes::Bytes>>> {
    let mut req = Request::new(Full::new(hop.body));
    let path = hop.uri.path_and_query()?.clone();
    let uri = Uri::builder()
        .scheme("http")
        .authority(host.to_string())
        .path_and_query(path);
    *req.uri_mut() = uri.build().ok()?;
    *req.method_mut() = hop.method;
    *req.headers_mut() = hop.headers;
    let header = HeaderValue::try_from(hop.header.to_string()).ok()?;
    req.headers_mut().insert(REQUEST_HEADER, header);
    set_notice(req.headers_mut(), hop.notice);
    Some(req)
}

async fn receive(
    node: &Shared,
    host: HostId,
    resp: Response<Incoming>,
    limit: Instant,
) -> HopReply {
    let (mut parts, body) = resp.into_parts();
    let status = parts
        .headers
        .remove(ANSWER_HEADER)
        .and_then(|value| value.to_str().ok().map(HopStatus::try_from));
    let notice = take_notice(&mut parts.headers);
    let crash = take_crash(&mut parts.headers);
    let Some(Ok(status)) = status else {
        return reply(HopOutcome::Lost(ErrorKind::Internal));
    };
    let outcome = match status.result {
        HopResult::Answered if !is_final_status(parts.status) => {
            log::warn!(host:% = host, status = parts.status.as_u16(); "peer_answer_invalid");
            HopOutcome::Lost(ErrorKind::ConnectionLost)
        }
        HopResult::Answered => read_answer(node, parts, body, limit).await,
        HopResult::Refused => HopOutcome::Refused(status.refusal),
        HopResult::Shed => HopOutcome::Shed(status.refusal),
        HopResult::Lost => HopOutcome::Lost(status.refusal.kind),
    };
    HopReply {
        outcome,
        call_failed: status.call_failed,
        load: Some(status.load),
        notice,
        crash,
    }
}

/// Buffers a small answer, so that the client gets all of it or a failure.
async fn read_answer(
    node: &Shared,
    parts: http::response::Parts,
    body: Incoming,
    limit: Instant,
) -> HopOutcome {
    let payload = match small_body::read(body, &node.answer_pool, None).await {
        Ok(SmallBody::Complete(bytes)) => Payload::buffered(bytes),
        Ok(SmallBody::Partial(first, rest)) => Payload::stream(first, rest, limit),
        Err(_) => return HopOutcome::Lost(ErrorKind::ConnectionLost),
    };
    HopOutcome::Answered(Response::from_parts(parts, payload))
}
