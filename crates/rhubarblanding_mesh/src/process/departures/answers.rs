//! Questions to other nodes about departures.

use std::sync::Arc;
use std::time::Duration;

use rhubarblanding_core::prelude::*;
use tokio::task::JoinSet;

use super::super::message;
use super::peers::{KnownPeers, PEERS_HEADER};
use super::{DepartureMessage, DepartureRecord};
use crate::connection::{PeerError, PeerPool};
use crate::request::DEPARTURES_PATH;

/// Maximum size of an answer about departures, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1024;

/// Answer of a node that was asked about departures.
#[derive(Debug)]
pub(super) enum HolderAnswer {
    /// Departures that it holds, and what it knows of other nodes.
    Records(Vec<DepartureRecord>, Option<KnownPeers>),
    /// It holds none: it was restarted, or does not know the question.
    Nothing,
    /// It may hold some.
    Unknown,
}

/// Asks all of `hosts`, each of which has `limit` to answer.
pub(super) fn ask_all(
    peers: &Arc<PeerPool>,
    hosts: Vec<HostId>,
    msg: &DepartureMessage,
    limit: Duration,
) -> JoinSet<(HostId, HolderAnswer)> {
    let ask = |host| {
        let (peers, msg) = (Arc::clone(peers), msg.clone());
        async move { (host, ask(&peers, host, &msg, limit).await) }
    };
    hosts.into_iter().map(ask).collect()
}

/// Asks the node on `host`, which has `limit` to answer.
pub(super) async fn ask(
    peers: &PeerPool,
    host: HostId,
    msg: &DepartureMessage,
    limit: Duration,
) -> HolderAnswer {
    let asking = message::ask(peers, host, DEPARTURES_PATH, msg, ANSWER_MAX_BYTES);
    match tokio::time::timeout(limit, asking).await {
        Ok(Ok(resp)) => {
            let known = resp.headers().get(PEERS_HEADER);
            let known = known.and_then(|value| KnownPeers::try_from(value.to_str().ok()?).ok());
            serde_json::from_slice(resp.body()).map_or(HolderAnswer::Nothing, |departed| {
                HolderAnswer::Records(departed, known)
            })
        }
        Ok(Err(PeerError::Refused)) => HolderAnswer::Nothing,
        Ok(Err(PeerError::NotSent | PeerError::Lost)) | Err(_) => HolderAnswer::Unknown,
    }
}
