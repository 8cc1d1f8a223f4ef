//! Requests and messages of other nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use http::header::HeaderValue;
use http::{Request, Response};
use hyper::body::Incoming;
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::Input;
use rhubarblanding_request::suspect::SuspectRecord;

use super::hop::{
    ANSWER_HEADER, DEPARTURES_PATH, FRESHNESS_PATH, GOSSIP_PATH, HopHeader, HopOutcome, HopReply,
    HopRequest, HopResult, HopStatus, QUOTA_PATH, REQUEST_HEADER, STOP_PATH, SUSPECTS_PATH,
    set_crash, set_notice, take_notice,
};
use super::serve::serve_local;
use super::small_body::read_logged;
use crate::connection::Payload;
use crate::process::{DepartureMessage, FRESHNESS_HEADER, PEERS_HEADER, Shared, StopMessage, word};

/// Maximum size of a membership message, in bytes.
const GOSSIP_MAX_BYTES: usize = 4 << 20;
/// Maximum size of a message about requests that crash targets, in bytes.
const SUSPECTS_MAX_BYTES: usize = 1 << 20;
/// Maximum size of an ask for allotments, in bytes.
const QUOTA_MAX_BYTES: usize = 1 << 20;
/// Maximum size of a message about departures, in bytes.
const DEPARTURES_MAX_BYTES: usize = 64 * 1024;
/// Maximum size of a message of a stopping node, in bytes.
const STOP_MAX_BYTES: usize = 1 << 20;
/// Maximum size of a request between nodes, in bytes.
const BODY_MAX_BYTES: usize = 64 << 20;

/// Answers a request of another node.
pub async fn handle_peer(
    node: Arc<Shared>,
    req: Request<Incoming>,
    _: SocketAddr,
) -> Response<Payload> {
    let (mut parts, body) = req.into_parts();
    if !parts.headers.contains_key(REQUEST_HEADER) {
        match parts.uri.path() {
            GOSSIP_PATH => return receive_gossip(&node, body).await,
            SUSPECTS_PATH => return receive_suspects(&node, body).await,
            QUOTA_PATH => return receive_quota_ask(&node, body).await,
            DEPARTURES_PATH => return receive_departures(&node, body).await,
            STOP_PATH => return receive_stop(&node, body).await,
            FRESHNESS_PATH => return with_word(&node, no_content()),
            _ => {}
        }
    }
    let open = node.open_request();
    if node.is_refusing_peers() {
        return refuse(ErrorKind::NodeDraining);
    }
    let header = parts
        .headers
        .remove(REQUEST_HEADER)
        .and_then(|value| value.to_str().ok().map(HopHeader::try_from));
    let Some(Ok(header)) = header else {
        log::warn!(path:% = parts.uri.path(); "peer_request_invalid");
        return refuse(ErrorKind::RefusedByNode);
    };
    let notice = take_notice(&mut parts.headers);
    let is_asked = parts.headers.remove(FRESHNESS_HEADER).is_some();
    let Some(body) =
        read_logged(body, BODY_MAX_BYTES, &node.message_pool, "peer_request_cut").await
    else {
        return refuse(ErrorKind::RefusedByNode);
    };
    let uri = parts
        .uri
        .into_parts()
        .path_and_query
        .map_or_else(Default::default, Into::into);
    let hop = HopRequest {
        header,
        method: parts.method,
        uri,
        headers: parts.headers,
        body,
        notice,
    };
    let resp = encode(serve_local(Arc::clone(&node), hop).await);
    let resp = resp.map(|payload| payload.guarded(Box::new(open)));
    match is_asked {
        true => with_word(&node, resp),
        false => resp,
    }
}

/// Adds this node's word on the freshness of its configuration to an answer.
fn with_word(node: &Shared, mut resp: Response<Payload>) -> Response<Payload> {
    if let Some(word) = word(node) {
        resp.headers_mut().insert(FRESHNESS_HEADER, word);
    }
    resp
}

/// Handles a membership message of another node.
async fn receive_gossip(node: &Shared, body: Incoming) -> Response<Payload> {
    let Some(body) = read_logged(body, GOSSIP_MAX_BYTES, &node.message_pool, "gossip_cut").await
    else {
        return super::refusal(Refusal::new(ErrorKind::InvalidRequest));
    };
    match serde_json::from_slice(&body) {
        Ok(msg) => node.member_input(Input::Message(msg)),
        Err(e) => log::warn!(reason:% = e; "gossip_invalid"),
    }
    no_content()
}

/// Handles another node's records of requests that crash targets.
async fn receive_suspects(node: &Shared, body: Incoming) -> Response<Payload> {
    let Some(body) =
        read_logged(body, SUSPECTS_MAX_BYTES, &node.message_pool, "suspects_cut").await
    else {
        return super::refusal(Refusal::new(ErrorKind::InvalidRequest));
    };
    match serde_json::from_slice::<Vec<SuspectRecord>>(&body) {
        Ok(records) => node.suspects.merge(node.clock.now(), &records),
        Err(e) => log::warn!(reason:% = e; "suspects_invalid"),
    }
    no_content()
}

/// Answers another node's message about departures.
async fn receive_departures(node: &Arc<Shared>, body: Incoming) -> Response<Payload> {
    let invalid = || super::refusal(Refusal::new(ErrorKind::InvalidRequest));
    let Some(body) = read_logged(
        body,
        DEPARTURES_MAX_BYTES,
        &node.message_pool,
        "departures_cut",
    )
    .await
    else {
        return invalid();
    };
    let msg = match serde_json::from_slice::<DepartureMessage>(&body) {
        Ok(msg) => msg,
        Err(e) => {
            log::warn!(reason:% = e; "departures_invalid");
            return invalid();
        }
    };
    let Some(answer) = node.departures.receive(node, msg) else {
        return super::refusal(Refusal::new(ErrorKind::NodeDraining));
    };
    let Ok(text) = serde_json::to_vec(&answer.departed) else {
        return no_content();
    };
    let mut resp = Response::new(Payload::buffered(text.into()));
    let peers = answer.peers.map(|peers| peers.to_string());
    if let Some(Ok(peers)) = peers.map(HeaderValue::try_from) {
        resp.headers_mut().insert(PEERS_HEADER, peers);
    }
    resp
}

/// Handles the message of a stopping node whose requests wait here.
async fn receive_stop(node: &Shared, body: Incoming) -> Response<Payload> {
    let Some(body) =
        read_logged(body, STOP_MAX_BYTES, &node.message_pool, "stop_message_cut").await
    else {
        return super::refusal(Refusal::new(ErrorKind::InvalidRequest));
    };
    match serde_json::from_slice::<StopMessage>(&body) {
        Ok(msg) => msg.apply(node),
        Err(e) => log::warn!(reason:% = e; "stop_message_invalid"),
    }
    no_content()
}

/// Answers another node's ask for allotments.
async fn receive_quota_ask(node: &Shared, body: Incoming) -> Response<Payload> {
    let Some(body) = read_logged(body, QUOTA_MAX_BYTES, &node.message_pool, "quota_ask_cut").await
    else {
        return super::refusal(Refusal::new(ErrorKind::InvalidRequest));
    };
    let reply = match serde_json::from_slice(&body) {
        Ok(msg) => node.quotas.receive(node, &msg),
        Err(e) => {
            log::warn!(reason:% = e; "quota_ask_invalid");
            return super::refusal(Refusal::new(ErrorKind::InvalidRequest));
        }
    };
    let text = reply.and_then(|reply| serde_json::to_vec(&reply).ok());
    text.map_or_else(no_content, |text| {
        Response::new(Payload::buffered(text.into()))
    })
}

/// Refuses a request of another node that was not read whole.
fn refuse(kind: ErrorKind) -> Response<Payload> {
    encode(HopReply {
        outcome: HopOutcome::Refused(Refusal::new(kind)),
        call_failed: false,
        load: None,
        notice: None,
        crash: None,
    })
}

/// Encodes an outcome as an answer between nodes.
fn encode(reply: HopReply) -> Response<Payload> {
    let (result, refusal, mut resp) = match reply.outcome {
        HopOutcome::Answered(resp) => {
            let none = Refusal::new(ErrorKind::Internal);
            (HopResult::Answered, none, resp)
        }
        HopOutcome::Refused(refusal) => (HopResult::Refused, refusal, no_content()),
        HopOutcome::Shed(refusal) => (HopResult::Shed, refusal, no_content()),
        HopOutcome::Lost(kind) => (HopResult::Lost, Refusal::new(kind), no_content()),
    };
    let status = HopStatus {
        result,
        refusal,
        call_failed: reply.call_failed,
        load: reply.load.unwrap_or_default(),
    };
    if let Ok(value) = HeaderValue::try_from(status.to_string()) {
        resp.headers_mut().insert(ANSWER_HEADER, value);
    }
    // The target's answer must not pass for the node's word.
    resp.headers_mut().remove(FRESHNESS_HEADER);
    set_notice(resp.headers_mut(), reply.notice);
    set_crash(resp.headers_mut(), reply.crash);
    resp
}

fn no_content() -> Response<Payload> {
    Response::new(Payload::empty())
}
