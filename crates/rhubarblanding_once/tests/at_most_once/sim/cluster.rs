//! A simulated cluster.

use rhubarblanding_core::ids::IdempotencyKey;
use rhubarblanding_core::time::{MonoTime, UnixMillis};
use rhubarblanding_once::prelude::*;

use super::callers::Request;
use super::events::{Event, NodeIndex, Reply, StoreCall};
use super::operations::Backend;
use super::oracle::Oracle;
use crate::common::{START, member, service};

/// Time by which the first epoch precedes the start, so that callers with slow clocks have a home.
const HISTORY_MILLIS: u64 = 600_000;

/// Values drawn once for each run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Availability zone of each first member.
    pub zones: Vec<u8>,
    /// Offset of each host's wall clock, in milliseconds.
    pub offsets: Vec<i64>,
    pub ledger: LedgerSettings,
    pub manager: ManagerSettings,
}

/// One incarnation of a node.
pub struct Node {
    pub ledger: Ledger,
    pub manager: TableManager,
    pub paused: bool,
    /// `true` if a later incarnation runs on its host.
    pub replaced: bool,
    pub stopped: bool,
    offset: i64,
    pub store_call: u64,
}

pub struct Cluster {
    setup: Setup,
    pub nodes: Vec<Node>,
    pub requests: Vec<Request>,
    pub keys: Vec<IdempotencyKey>,
    pub events: Vec<Event>,
    pub store_up: bool,
    /// Bit set of the nodes that are cut off from the others and from the store.
    pub cut: u8,
    pub document: Option<HomeTable>,
    pub backend: Backend,
    pub oracle: Oracle,
    pub millis: u64,
    pub next_caller: u64,
}

impl Cluster {
    pub fn new(setup: Setup) -> Self {
        let zones = setup.zones.iter().enumerate();
        let members: Vec<Member> = zones.map(|(i, zone)| member(i as u8, 1, *zone)).collect();
        let from = UnixMillis(START.0 - HISTORY_MILLIS);
        let table = HomeTable::bootstrap(service(), from, members.clone()).unwrap();
        let mut cluster = Self {
            setup,
            nodes: Vec::new(),
            requests: Vec::new(),
            keys: Vec::new(),
            events: Vec::new(),
            store_up: true,
            cut: 0,
            document: Some(table.clone()),
            backend: Backend::Run,
            oracle: Oracle::default(),
            millis: 0,
            next_caller: 0,
        };
        for member in &members {
            cluster.add_node(member.clone(), Some(table.clone()));
        }
        for node in 0..members.len() {
            cluster.feed_manager(node, ManagerInput::View(members.clone()));
        }
        cluster
    }

    pub fn now(&self, node: NodeIndex) -> Now {
        Now {
            mono: MonoTime::from_millis(self.millis),
            wall: UnixMillis(
                (START.0 + self.millis).saturating_add_signed(self.nodes[node].offset),
            ),
        }
    }

    pub fn add_node(&mut self, member: Member, table: Option<HomeTable>) -> NodeIndex {
        let node = self.nodes.len();
        self.nodes.push(Node {
            ledger: Ledger::new(member.clone(), self.setup.ledger),
            manager: TableManager::new(member, service(), self.setup.manager),
            paused: false,
            replaced: false,
            stopped: false,
            offset: self.setup.offsets[node % self.setup.offsets.len()],
            store_call: 0,
        });
        if let Some(table) = table {
            let now = self.now(node);
            self.nodes[node].ledger.adopt(now, table);
        }
        node
    }

    /// The nodes that have not been replaced.
    pub fn alive(&self) -> Vec<NodeIndex> {
        let nodes = 0..self.nodes.len();
        nodes.filter(|node| !self.nodes[*node].replaced).collect()
    }

    /// The node that runs on the host at present.
    pub fn at_host(&self, id: MemberId) -> Option<NodeIndex> {
        let is_at = |node: &Node| !node.replaced && node.ledger.member().id.host == id.host;
        self.nodes.iter().position(is_at)
    }

    pub fn feed_ledger(&mut self, node: NodeIndex, input: Input) {
        let now = self.now(node);
        for output in self.nodes[node].ledger.handle(now, input) {
            let event = self.event_of(node, output);
            self.events.push(event);
        }
    }

    fn event_of(&self, node: NodeIndex, output: Output) -> Event {
        match output {
            Output::Dispatch { key, run, caller } => Event::Dispatch(node, key, run, caller),
            Output::Answer { caller, answer } => {
                Event::Reply(caller, node, Reply::Answer(answer.as_ref().clone()))
            }
            Output::Refuse { caller, refusal } => Event::Reply(
                caller,
                node,
                Reply::Failure(ForwardFailure::Refused(refusal)),
            ),
            Output::Send { to, msg } => {
                let from = self.nodes[node].ledger.member().id;
                Event::Peer(Envelope { from, to, msg })
            }
            Output::QueryOutcome { key, run } => Event::QueryOutcome(node, key, run),
        }
    }

    pub fn feed_manager(&mut self, node: NodeIndex, input: ManagerInput) {
        let now = self.now(node);
        for output in self.nodes[node].manager.handle(now, input) {
            let call = match output {
                ManagerOutput::Read => StoreCall::Read,
                ManagerOutput::Swap { expected, table } => StoreCall::Swap(expected, table),
                ManagerOutput::Distribute { to, table } => {
                    let event = |id| Event::Table(node, id, table.clone());
                    self.events.extend(to.into_iter().map(event));
                    continue;
                }
            };
            self.nodes[node].store_call += 1;
            let number = self.nodes[node].store_call;
            self.events.push(Event::Store(node, number, call));
        }
    }

    pub fn tick(&mut self) {
        for node in 0..self.nodes.len() {
            if !self.nodes[node].paused {
                self.feed_ledger(node, Input::Tick);
                self.feed_manager(node, ManagerInput::Tick);
            }
        }
    }
}
