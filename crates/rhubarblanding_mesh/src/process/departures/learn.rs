//! How a process learns of the departures before its start.
//!
//! They are in the key-value service, or held by other nodes. Nobody tells that all of these were
//! asked: after an outage the service lists only the nodes whose entries have not lapsed or are
//! restored already, perhaps this one alone. The list counts as whole if
//!
//! - a node that has run for a while has answered, and all that it knows were asked, too;
//! - only nodes have answered that have just started, as this one; or
//! - the service has answered for as long as living nodes take to restore their entries.
//!
//! Where that is wrong, the nodes that hold a departure tell this one as soon as they see it.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::process::parking::lock;
use rhubarblanding_store::backoff::{Backoff, BackoffSettings};

use super::answers::{HolderAnswer, ask_all};
use super::{
    ASK_TIMEOUT, DepartureMessage, HOLDERS_ASKED, HOLDERS_MIN, begin, in_order, other_nodes,
};
use crate::connection::PeerPool;
use crate::process::Shared;
use crate::process::registration::{self, RESTORE_TIME};
use crate::protocol::Instance;

/// Number of nodes that a process asks at its start: more than [`HOLDERS_ASKED`], as nodes join and
/// leave meanwhile.
pub(super) const ASKED_AT_START: usize = 2 * HOLDERS_ASKED;
/// Time for the answers of the first round at the start; each later round has that much more, up to
/// [`ASK_TIMEOUT`]. A host without power does not refuse connections, and accepts them soon after.
const FIRST_ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(30);
/// Rounds before the key-value service is read again, which forgets hosts that are gone for good.
const ROUNDS_AT_START: u32 = 6;
/// Delays between attempts to learn of the departures before the start.
const LEARN_BACKOFF: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(200),
    max: Duration::from_millis(800),
};

/// Learns of the departures before the start, however long the key-value service is away.
pub(in crate::process) async fn learn(node: Arc<Shared>) {
    let mut rng = SmallRng::from_os_rng();
    let mut backoff = Backoff::new(LEARN_BACKOFF);
    let mut first_read = None;
    let survey = loop {
        let read_at = node.clock.now();
        let (hosts, is_read) = match read_stored(&node).await {
            Ok(hosts) => (hosts, true),
            Err(reason) => {
                log::info!(reason = reason; "departures_not_read");
                // Entries may lapse until it answers again.
                first_read = None;
                (Vec::new(), false)
            }
        };
        let survey = Survey::new(hosts).run(&node).await;
        if is_read && survey.is_answered {
            let answering_for = read_at.since(*first_read.get_or_insert(read_at));
            // Nobody answers a node that is alone, and one whose list is incomplete.
            if survey.is_heard || answering_for >= RESTORE_TIME {
                break survey;
            }
        }
        tokio::time::sleep(backoff.next_delay(&mut rng)).await;
    };
    let verdict = node.local.finish_departed(&node);
    let verdict = verdict.map_or_else(|| "none".to_owned(), |verdict| verdict.to_string());
    let departed = node.local.departed().len();
    log::info!(
        departed = departed, held_back = verdict, listed = survey.listed,
        asked = survey.answered.len(), is_settled = survey.is_settled;
        "departures_read"
    );
    node.announce();
}

/// Reads the departures in the key-value service; returns the hosts of all nodes.
async fn read_stored(node: &Arc<Shared>) -> Result<Vec<HostId>, String> {
    let reason = |report: error_stack::Report<_>| format!("{}", report.current_context());
    let departed = registration::read_departed(node).await.map_err(reason)?;
    node.local.mark_departed(node, departed);
    registration::read_nodes(node).await.map_err(reason)
}

/// Marks and keeps departures that other nodes hold.
pub(super) fn apply(node: &Arc<Shared>, departed: Vec<Instance>) {
    for instance in &departed {
        if !lock(&node.departures.own).contains_key(instance) {
            log::info!(instance:% = instance.id, born = instance.started_at.0; "departure_learned");
        }
        begin(node, instance);
    }
    node.local.mark_departed(node, departed);
}

/// Questions to the nodes that may hold departures from this host.
struct Survey {
    /// Number of nodes that the key-value service lists.
    listed: usize,
    known: HashSet<HostId>,
    asked: HashSet<HostId>,
    answered: HashSet<HostId>,
    /// Whether another node answered.
    is_heard: bool,
    /// Whether one answered that has run for a while.
    is_settled: bool,
    /// Whether one of those that hold a departure must have answered.
    is_answered: bool,
}

impl Survey {
    fn new(listed: Vec<HostId>) -> Self {
        Self {
            listed: listed.len(),
            known: listed.into_iter().collect(),
            asked: HashSet::default(),
            answered: HashSet::default(),
            is_heard: false,
            is_settled: false,
            is_answered: false,
        }
    }

    /// Asks the silent nodes several times: after a loss of power all start at once.
    async fn run(mut self, node: &Arc<Shared>) -> Self {
        // Its connections are tried more often than those of requests.
        let peers = Arc::new(PeerPool::new(node.clock));
        for round in 0..ROUNDS_AT_START {
            self.known.extend(other_nodes(node));
            let limit = ASK_TIMEOUT.min(FIRST_ASK_TIMEOUT * (round + 1));
            let silent = self.candidates(node, &self.answered);
            self.ask(node, &peers, silent, limit).await;
            if self.is_enough(node) {
                self.is_answered = true;
                return self;
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        let silent = self.candidates(node, &self.answered).len();
        log::info!(nodes = silent; "departures_not_answered");
        self
    }

    /// Nodes that may hold a departure, but for those of `without`.
    fn candidates(&self, node: &Shared, without: &HashSet<HostId>) -> Vec<HostId> {
        let known = self.known.iter().copied().collect();
        let mut hosts = in_order(node.host_id(), known, ASKED_AT_START);
        hosts.retain(|host| !without.contains(host));
        hosts
    }

    fn is_enough(&self, node: &Shared) -> bool {
        let all = self.candidates(node, &HashSet::default()).len();
        let silent = self.candidates(node, &self.answered).len();
        let is_asked = self.candidates(node, &self.asked).is_empty();
        is_asked && (silent == 0 || silent < HOLDERS_MIN.min(all))
    }

    /// Applies the departures that `hosts` hold, and adds the nodes that they know.
    async fn ask(
        &mut self,
        node: &Arc<Shared>,
        peers: &Arc<PeerPool>,
        hosts: Vec<HostId>,
        limit: Duration,
    ) {
        let msg = DepartureMessage::List {
            host: node.host_id(),
        };
        self.asked.extend(&hosts);
        let mut held: Vec<Instance> = Vec::new();
        for (host, answer) in ask_all(peers, hosts, &msg, limit).join_all().await {
            match answer {
                HolderAnswer::Records(records, peers) => {
                    held.extend(records.into_iter().map(Instance::from));
                    self.is_heard = true;
                    let settled = peers.filter(|peers| peers.is_settled);
                    self.is_settled |= settled.is_some();
                    self.known
                        .extend(settled.into_iter().flat_map(|peers| peers.hosts));
                    self.answered.insert(host);
                }
                HolderAnswer::Nothing => {
                    self.answered.insert(host);
                }
                HolderAnswer::Unknown => {}
            }
        }
        apply(node, held);
    }
}
