//! Messages to other nodes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, Uri};
use http_body_util::{BodyExt, Collected, Full, Limited};
use rhubarblanding_core::prelude::*;
use serde::Serialize;

use super::shared::Shared;
use crate::connection::{PeerError, PeerPool};

/// Time after which a message counts as lost.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a message to the node on `to`. It may be lost: later ones make up for it.
pub(super) fn send(node: &Arc<Shared>, to: HostId, path: &str, msg: &impl Serialize) {
    let Some(req) = build(to, path, msg) else {
        return;
    };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let _ = tokio::time::timeout(SEND_TIMEOUT, node.peers.send(to.0, req)).await;
    });
}

/// Sends a message to the node on `to` over a connection of `peers` and returns its answer, with a
/// body of at most `max_bytes`.
///
/// # Errors
///
/// See [`PeerError`]; an answer that is too long counts as lost.
pub(super) async fn ask(
    peers: &PeerPool,
    to: HostId,
    path: &str,
    msg: &impl Serialize,
    max_bytes: usize,
) -> Result<Response<Bytes>, PeerError> {
    let req = build(to, path, msg).ok_or(PeerError::NotSent)?;
    let (parts, body) = peers.send(to.0, req).await?.into_parts();
    let body = Limited::new(body, max_bytes).collect().await;
    let body = body.map(Collected::to_bytes).map_err(|_| PeerError::Lost)?;
    Ok(Response::from_parts(parts, body))
}

fn build(to: HostId, path: &str, msg: &impl Serialize) -> Option<Request<Full<Bytes>>> {
    let body = match serde_json::to_vec(msg) {
        Ok(body) => Bytes::from(body),
        Err(e) => {
            log::warn!(path = path, reason:% = e; "message_not_encoded");
            return None;
        }
    };
    let uri = Uri::builder()
        .scheme("http")
        .authority(to.to_string())
        .path_and_query(path)
        .build();
    let Ok(uri) = uri else {
        log::warn!(path = path, host:% = to; "message_address_invalid");
        return None;
    };
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = uri;
    Some(req)
}
