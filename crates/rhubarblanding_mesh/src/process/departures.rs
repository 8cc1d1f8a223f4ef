//! Departures of instances of the local target: where they are kept, and how a process that is
//! started again learns of them.
//!
//! A departure is acknowledged to the target once it outlasts this process: when the key-value
//! service has stored it or, while the service is away, slow or refuses this node, when several
//! other nodes hold it. They hold each departure, as the service may come back from an older copy.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::process::parking::{Mutex, lock};
use rhubarblanding_store::backoff::{Backoff, BackoffSettings};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::member::other_nodes;
use super::registration::{self, DEPARTED_TTL};
use super::shared::Shared;
use super::{held::HeldDepartures, message};
use crate::connection::{PeerError, PeerPool};
use crate::protocol::{Instance, InstanceId};
use crate::request::DEPARTURES_PATH;

/// Time within which a departure must be kept for an acknowledgement of this call. The target waits
/// a second for it, and calls again.
const KEEP_TIMEOUT: Duration = Duration::from_millis(850);
/// Time for the key-value service alone to store a departure.
const HAND_OVER_AFTER: Duration = Duration::from_millis(200);
/// Number of attempts to hand a departure over that the key-value service has stored.
const ATTEMPTS_IF_STORED: u32 = 5;
/// Number of nodes that are asked to hold a departure.
const HOLDERS_ASKED: usize = 8;
/// Number of nodes that must hold a departure; all others in fleets that have fewer.
const HOLDERS_MIN: usize = 3;
/// Number of nodes that a process asks at its start: more than [`HOLDERS_ASKED`], as nodes join and
/// leave meanwhile.
const ASKED_AT_START: usize = 16;
/// Time for the answers of the first round at the start; each later round has that much more, up to
/// [`ASK_TIMEOUT`]. A host without power does not refuse connections, and accepts them soon after.
const FIRST_ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(30);
/// Rounds before the key-value service is read again, which forgets hosts that are gone for good.
const ROUNDS_AT_START: u32 = 6;
/// Time for an answer about departures.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which nodes are asked again to hold a departure that is not stored.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Delays between attempts to hand a departure over.
const HAND_OVER_BACKOFF: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(100),
    max: Duration::from_millis(1_000),
};
/// Delays between attempts to learn of the departures before the start.
const LEARN_BACKOFF: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(200),
    max: Duration::from_millis(1_600),
};
/// Maximum size of an answer about departures, in bytes.
const ANSWER_MAX_BYTES: usize = 64 * 1024;

/// Instance as nodes send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureRecord {
    id: Box<str>,
    started_at_ms: u64,
}

impl From<&Instance> for DepartureRecord {
    fn from(instance: &Instance) -> Self {
        Self {
            id: (*instance.id.0).into(),
            started_at_ms: instance.started_at.0,
        }
    }
}

impl From<DepartureRecord> for Instance {
    fn from(record: DepartureRecord) -> Self {
        Self {
            started_at: UnixMillis(record.started_at_ms),
            id: InstanceId(record.id.into()),
        }
    }
}

/// Message between nodes about departures.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DepartureMessage {
    /// Asks to hold a departure from the host.
    Hold {
        /// Host of the instance that left.
        host: HostId,
        /// The instance.
        departed: DepartureRecord,
    },
    /// Asks for the departures from the host that are held.
    List {
        /// Host of the instances.
        host: HostId,
    },
}

/// Where a departure is kept besides the memory of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kept {
    Nowhere,
    ByNodes,
    InStore,
}

/// Departures that a node keeps: those of its own target and those that it holds for others.
#[derive(Debug, Default)]
pub struct Departures {
    own: Mutex<HashMap<Instance, watch::Sender<Kept>>>,
    held: Mutex<HeldDepartures>,
}

impl Departures {
    /// Answers a message of another node; `None` if the departure cannot be held.
    pub fn receive(&self, node: &Shared, msg: DepartureMessage) -> Option<Vec<DepartureRecord>> {
        let now = node.clock.now();
        let held = &mut *lock(&self.held);
        match msg {
            // The memory of a stopping node ends soon.
            DepartureMessage::Hold { .. } if node.is_stopping() => None,
            DepartureMessage::Hold { host, departed } => {
                held.hold(now, DEPARTED_TTL, host, departed).then(Vec::new)
            }
            DepartureMessage::List { host } => Some(held.list(now, host)),
        }
    }
}

/// Keeps a departure; returns `true` once it outlasts this process, `false` if that takes too long.
/// The attempts go on.
pub(super) async fn keep(node: &Arc<Shared>, instance: &Instance) -> bool {
    let mut kept = begin(node, instance);
    let waiting = kept.wait_for(|kept| *kept != Kept::Nowhere);
    let is_kept = matches!(tokio::time::timeout(KEEP_TIMEOUT, waiting).await, Ok(Ok(_)));
    if !is_kept {
        log::warn!(instance:% = instance.id, born = instance.started_at.0; "departure_not_kept_yet");
    }
    is_kept
}

/// Begins to keep a departure, if that has not begun. The receiver tells where it is kept.
pub(super) fn begin(node: &Arc<Shared>, instance: &Instance) -> watch::Receiver<Kept> {
    let mut own = lock(&node.departures.own);
    if let Some(kept) = own.get(instance) {
        return kept.subscribe();
    }
    let kept = watch::Sender::new(Kept::Nowhere);
    own.insert(instance.clone(), kept.clone());
    drop(own);
    tokio::spawn(store(Arc::clone(node), instance.clone(), kept.clone()));
    tokio::spawn(hand_over(Arc::clone(node), instance.clone(), kept.clone()));
    kept.subscribe()
}

async fn store(node: Arc<Shared>, instance: Instance, kept: watch::Sender<Kept>) {
    registration::record_until_stored(node, instance).await;
    kept.send_replace(Kept::InStore);
}

/// Has other nodes hold a departure, again and again until it is stored: they may end as well.
async fn hand_over(node: Arc<Shared>, instance: Instance, kept: watch::Sender<Kept>) {
    let mut rng = SmallRng::from_os_rng();
    let mut backoff = Backoff::new(HAND_OVER_BACKOFF);
    tokio::time::sleep(HAND_OVER_AFTER).await;
    let (mut attempts_if_stored, mut is_held) = (0, false);
    loop {
        let holders = in_order(node.host_id(), other_nodes(&node), HOLDERS_ASKED);
        let needed = HOLDERS_MIN.min(holders.len());
        let asked = holders.len();
        let held = ask_to_hold(&node, holders, &instance, needed).await;
        let was_held = std::mem::replace(&mut is_held, needed > 0 && held >= needed);
        if was_held != is_held || !is_held {
            log::info!(
                instance:% = instance.id, born = instance.started_at.0, nodes = held, asked = asked,
                is_enough = is_held;
                "departure_handed_over"
            );
        }
        let is_stored = *kept.borrow() == Kept::InStore;
        attempts_if_stored += u32::from(is_stored);
        if is_stored && (is_held || attempts_if_stored >= ATTEMPTS_IF_STORED) {
            return;
        }
        if is_held {
            kept.send_if_modified(|kept| {
                let is_news = *kept == Kept::Nowhere;
                *kept = match is_news {
                    true => Kept::ByNodes,
                    false => *kept,
                };
                is_news
            });
            backoff = Backoff::new(HAND_OVER_BACKOFF);
            tokio::time::sleep(REFRESH_INTERVAL).await;
        } else {
            tokio::time::sleep(backoff.next_delay(&mut rng)).await;
        }
    }
}

/// Returns the number of nodes that hold the departure, `needed` at most.
async fn ask_to_hold(
    node: &Arc<Shared>,
    holders: Vec<HostId>,
    instance: &Instance,
    needed: usize,
) -> usize {
    let msg = DepartureMessage::Hold {
        host: node.host_id(),
        departed: instance.into(),
    };
    let mut asks = ask_all(&node.peers, holders, &msg, ASK_TIMEOUT);
    let mut held = 0;
    while held < needed
        && let Some(answer) = asks.join_next().await
    {
        held += usize::from(matches!(answer, Ok((_, HolderAnswer::Records(_)))));
    }
    held
}

/// Answer of a node that was asked about departures.
#[derive(Debug)]
enum HolderAnswer {
    /// Departures that it holds.
    Records(Vec<DepartureRecord>),
    /// It holds none: it was restarted, or does not know the question.
    Nothing,
    /// It may hold some.
    Unknown,
}

/// Asks all of `hosts`, each of which has `limit` to answer.
fn ask_all(
    peers: &Arc<PeerPool>,
    hosts: Vec<HostId>,
    msg: &DepartureMessage,
    limit: Duration,
) -> JoinSet<(HostId, HolderAnswer)> {
    let ask = |host| {
        let (peers, msg) = (Arc::clone(peers), msg.clone());
        async move {
            let asking = message::ask(&peers, host, DEPARTURES_PATH, &msg, ANSWER_MAX_BYTES);
            let answer = match tokio::time::timeout(limit, asking).await {
                Ok(Ok(body)) => serde_json::from_slice(&body)
                    .map_or(HolderAnswer::Nothing, HolderAnswer::Records),
                Ok(Err(PeerError::Refused)) => HolderAnswer::Nothing,
                Ok(Err(PeerError::NotSent | PeerError::Lost)) | Err(_) => HolderAnswer::Unknown,
            };
            (host, answer)
        }
    };
    hosts.into_iter().map(ask).collect()
}

/// Returns the first of `hosts` in the order in which they hold departures from `own`: the same
/// order whoever computes it, so that a restarted process asks those that were asked before.
fn in_order(own: HostId, mut hosts: Vec<HostId>, count: usize) -> Vec<HostId> {
    let seed = stable_hash(0, own.to_string().as_bytes());
    hosts.retain(|host| *host != own);
    hosts.sort_by_cached_key(|host| stable_hash(seed, host.to_string().as_bytes()));
    hosts.dedup();
    hosts.truncate(count);
    hosts
}

/// Learns of the departures before the start, however long the key-value service is away.
pub(super) async fn learn(node: Arc<Shared>) {
    let mut rng = SmallRng::from_os_rng();
    let mut backoff = Backoff::new(LEARN_BACKOFF);
    let listed = loop {
        let stored = read_stored(&node).await;
        let is_stored_known = stored.is_ok();
        let hosts = stored.unwrap_or_else(|reason| {
            log::info!(reason = reason; "departures_not_read");
            other_nodes(&node)
        });
        let listed = hosts.len();
        if learn_held(&node, hosts).await && is_stored_known {
            break listed;
        }
        tokio::time::sleep(backoff.next_delay(&mut rng)).await;
    };
    let verdict = node.local.finish_departed(&node);
    let verdict = verdict.map_or_else(|| "none".to_owned(), |verdict| verdict.to_string());
    let departed = node.local.departed().len();
    log::info!(departed = departed, held_back = verdict, listed = listed; "departures_read");
    node.announce();
}

/// Reads the departures in the key-value service; returns the hosts of all nodes.
async fn read_stored(node: &Arc<Shared>) -> Result<Vec<HostId>, String> {
    let reason = |report: error_stack::Report<_>| format!("{}", report.current_context());
    let departed = registration::read_departed(node).await.map_err(reason)?;
    node.local.mark_departed(node, departed);
    registration::read_nodes(node).await.map_err(reason)
}

/// Asks `hosts` for the departures that they hold, the silent ones several times: after a loss of
/// power all start at once. Returns `true` if one of those that hold a departure must have answered.
async fn learn_held(node: &Arc<Shared>, hosts: Vec<HostId>) -> bool {
    // Its connections are tried more often than those of requests.
    let peers = Arc::new(PeerPool::new(node.clock));
    let mut silent = in_order(node.host_id(), hosts, ASKED_AT_START);
    let enough = HOLDERS_MIN.min(silent.len());
    for round in 0..ROUNDS_AT_START {
        let limit = ASK_TIMEOUT.min(FIRST_ASK_TIMEOUT * (round + 1));
        silent = ask_for_held(node, &peers, silent, limit).await;
        if silent.is_empty() || silent.len() < enough {
            return true;
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    log::info!(nodes = silent.len(); "departures_not_answered");
    false
}

/// Marks the departures that `hosts` hold; returns those that were silent.
async fn ask_for_held(
    node: &Arc<Shared>,
    peers: &Arc<PeerPool>,
    hosts: Vec<HostId>,
    limit: Duration,
) -> Vec<HostId> {
    let msg = DepartureMessage::List {
        host: node.host_id(),
    };
    let mut silent = Vec::new();
    let mut held: Vec<Instance> = Vec::new();
    for (host, answer) in ask_all(peers, hosts, &msg, limit).join_all().await {
        match answer {
            HolderAnswer::Records(records) => held.extend(records.into_iter().map(Instance::from)),
            HolderAnswer::Nothing => {}
            HolderAnswer::Unknown => silent.push(host),
        }
    }
    for instance in &held {
        log::info!(instance:% = instance.id, born = instance.started_at.0; "departure_learned");
        begin(node, instance);
    }
    node.local.mark_departed(node, held);
    silent
}
