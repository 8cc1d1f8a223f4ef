//! Messages to other nodes that need no answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Uri};
use http_body_util::Full;
use rhubarblanding_core::prelude::*;
use serde::Serialize;

use super::shared::Shared;

/// Time after which a message counts as lost.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a message to the node on `to`. It may be lost: later ones make up for it.
pub(super) fn send(node: &Arc<Shared>, to: HostId, path: &str, msg: &impl Serialize) {
    let body = match serde_json::to_vec(msg) {
        Ok(body) => Bytes::from(body),
        Err(e) => return log::warn!(path = path, reason:% = e; "message_not_encoded"),
    };
    let uri = Uri::builder()
        .scheme("http")
        .authority(to.to_string())
        .path_and_query(path)
        .build();
    let Ok(uri) = uri else {
        return log::warn!(path = path, host:% = to; "message_address_invalid");
    };
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = uri;
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let _ = tokio::time::timeout(SEND_TIMEOUT, node.peers.send(to.0, req)).await;
    });
}
