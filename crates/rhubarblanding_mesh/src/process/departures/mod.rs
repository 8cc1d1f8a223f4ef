//! Departures of instances of the local target: where they are kept, and how a process that is
//! started again learns of them.
//!
//! A departure is acknowledged to the target once it outlasts this process: when the key-value
//! service has stored it or, while the service is away, slow or refuses this node, when several
//! other nodes hold it. They hold each departure, as the service may come back from an older copy,
//! and tell it to each later process on the host.

mod answers;
mod held;
mod learn;
mod peers;
mod tell;

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::Membership;
use rhubarblanding_node::process::parking::{Mutex, lock};
use rhubarblanding_store::backoff::{Backoff, BackoffSettings};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use self::answers::{HolderAnswer, ask_all};
use super::member::other_nodes;
use super::registration::{self, DEPARTED_TTL};
use super::shared::Shared;
use crate::protocol::{Instance, InstanceId};

pub use self::held::HeldDepartures;
pub(super) use self::learn::learn;
pub(crate) use self::peers::PEERS_HEADER;
pub use self::peers::{InvalidPeers, KnownPeers};
pub(super) use self::tell::tell_host;

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
/// Time for an answer about departures.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which nodes are asked again to hold a departure that is not stored.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Delays between attempts to hand a departure over.
const HAND_OVER_BACKOFF: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(100),
    max: Duration::from_millis(1_000),
};

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
    /// Tells the receiver of departures from its own host.
    Departed {
        /// The instances.
        departed: Vec<DepartureRecord>,
    },
}

/// Answer to a [`DepartureMessage`].
#[derive(Clone, Debug, Default)]
pub struct DepartureAnswer {
    /// Departures that are held, if they were asked for.
    pub departed: Vec<DepartureRecord>,
    /// Other nodes that may hold some.
    pub peers: Option<KnownPeers>,
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
    pub fn receive(&self, node: &Arc<Shared>, msg: DepartureMessage) -> Option<DepartureAnswer> {
        let now = node.clock.now();
        match msg {
            // The memory of a stopping node ends soon.
            DepartureMessage::Hold { .. } if node.is_stopping() => None,
            DepartureMessage::Hold { host, departed } => {
                let record = |member: &Membership| member.record(host).map(|r| r.info.incarnation);
                let teller = node.with_member(record);
                let mut held = lock(&self.held);
                let is_held = held.hold(now, DEPARTED_TTL, host, departed);
                held.set_told(host, teller);
                is_held.then(DepartureAnswer::default)
            }
            DepartureMessage::List { host } => Some(DepartureAnswer {
                departed: lock(&self.held).list(now, host),
                peers: Some(KnownPeers::of(node, host)),
            }),
            DepartureMessage::Departed { departed } => {
                learn::apply(node, departed.into_iter().map(Instance::from).collect());
                node.announce();
                Some(DepartureAnswer::default())
            }
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
        held += usize::from(matches!(answer, Ok((_, HolderAnswer::Records(..)))));
    }
    held
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
