//! Simulated network of many members in one process, with a message queue and a virtual clock.
//!
//! For tests and measurements: no thread, socket or real clock is involved, and a run is repeatable
//! from its seed.

mod faults;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_core::prelude::{HashMap, HostId, MonoTime, TargetInfo};

pub use self::faults::Faults;
use crate::io::{Event, Input, Output};
use crate::membership::Membership;
use crate::message::GossipMessage;
use crate::settings::MembershipSettings;

/// Port of the members' addresses.
const PORT: u16 = 7400;

/// Returns the address of the member with the given number.
pub fn host_number(number: u32) -> HostId {
    let addr = Ipv4Addr::from(0x0a00_0000 + number);
    HostId(SocketAddr::from((addr, PORT)))
}

/// Number of a member in its [`Network`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeKey(pub usize);

/// One member of a [`Network`].
#[derive(Clone, Debug)]
pub struct Node {
    /// State machine, or `None` while the node is not running.
    pub member: Option<Membership>,
    /// Network partition of the node; messages between different groups are lost.
    pub group: u32,
    rng: SmallRng,
    wake_at: Option<MonoTime>,
    paused: bool,
}

impl Node {
    /// Returns `true` if the node runs and handles messages and timers.
    pub fn is_active(&self) -> bool {
        self.member.is_some() && !self.paused
    }
}

/// Next simulation step of a node.
#[derive(Clone, Debug)]
pub struct Step {
    /// The node.
    pub node: NodeKey,
    /// Message that arrives, or `None` when a timer is due.
    pub msg: Option<Box<GossipMessage>>,
}

#[derive(Debug)]
struct Queued {
    due: MonoTime,
    serial: u64,
    step: Step,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.serial == other.serial
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.serial).cmp(&(other.due, other.serial))
    }
}

/// Members, the messages in transit between them, and a virtual clock.
#[derive(Debug)]
pub struct Network {
    /// Current time.
    pub now: MonoTime,
    /// Faults injected into the delivery of messages.
    pub faults: Faults,
    nodes: Vec<Node>,
    by_host: HashMap<HostId, NodeKey>,
    queue: BinaryHeap<Reverse<Queued>>,
    next_serial: u64,
    rng: SmallRng,
}

impl Network {
    /// Creates a network without members; all its randomness derives from `seed`.
    pub fn new(seed: u64, faults: Faults) -> Self {
        Self {
            now: MonoTime::ZERO,
            faults,
            nodes: Vec::new(),
            by_host: HashMap::default(),
            queue: BinaryHeap::new(),
            next_serial: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Starts a node, or restarts the node at the same address.
    pub fn start(&mut self, info: TargetInfo, settings: MembershipSettings) -> NodeKey {
        let host = info.host;
        let member = Some(Membership::new(info, settings));
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let key = match self.by_host.get(&host) {
            Some(key) => *key,
            None => self.add(host, &rng),
        };
        let node = &mut self.nodes[key.0];
        node.member = member;
        node.rng = rng;
        node.wake_at = None;
        node.paused = false;
        key
    }

    /// Kills a node without an announcement.
    pub fn kill(&mut self, key: NodeKey) {
        self.nodes[key.0].member = None;
    }

    /// Pauses or resumes a node's handling of messages and timers; messages that arrive meanwhile
    /// are lost.
    pub fn pause(&mut self, key: NodeKey, paused: bool) {
        self.nodes[key.0].paused = paused;
        if !paused {
            self.nodes[key.0].wake_at = None;
            self.schedule_wake(key);
        }
    }

    /// Moves a node to a group that receives only messages of the same group.
    pub fn set_group(&mut self, key: NodeKey, group: u32) {
        self.nodes[key.0].group = group;
    }

    /// Returns every node, running or not.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// Returns the state machine of a node, if it runs.
    pub fn member(&self, key: NodeKey) -> Option<&Membership> {
        self.nodes[key.0].member.as_ref()
    }

    /// Returns the key of the node at `host`.
    pub fn key_of(&self, host: HostId) -> Option<NodeKey> {
        self.by_host.get(&host).copied()
    }

    /// Passes `input` to a node and returns its events.
    pub fn input(&mut self, key: NodeKey, input: Input) -> Vec<Event> {
        let node = &mut self.nodes[key.0];
        let Some(member) = node.member.as_mut().filter(|_| !node.paused) else {
            return Vec::new();
        };
        let outputs = member.handle(self.now, &mut node.rng, input);
        let mut events = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, msg } => self.send(key, to, msg),
                Output::Event(event) => events.push(event),
            }
        }
        self.schedule_wake(key);
        events
    }

    /// Takes the next step at or before `end` and advances the clock to it, or to `end` if there is
    /// none.
    pub fn next_step(&mut self, end: MonoTime) -> Option<Step> {
        let due = self.queue.peek().map(|next| next.0.due);
        if due.is_none_or(|due| due > end) {
            self.now = end;
            return None;
        }
        let queued = self.queue.pop()?.0;
        self.now = queued.due;
        Some(queued.step)
    }

    /// Executes a step and returns the events of the node.
    pub fn apply(&mut self, step: Step) -> Vec<Event> {
        match step.msg {
            Some(msg) => self.input(step.node, Input::Message(*msg)),
            None => self.wake(step.node),
        }
    }

    /// Executes every step up to `end` and passes the nodes' events to `on_event`.
    pub fn run_until(&mut self, end: MonoTime, mut on_event: impl FnMut(MonoTime, NodeKey, Event)) {
        while let Some(step) = self.next_step(end) {
            let node = step.node;
            for event in self.apply(step) {
                on_event(self.now, node, event);
            }
        }
    }

    fn add(&mut self, host: HostId, rng: &SmallRng) -> NodeKey {
        let key = NodeKey(self.nodes.len());
        self.by_host.insert(host, key);
        self.nodes.push(Node {
            member: None,
            group: 0,
            rng: rng.clone(),
            wake_at: None,
            paused: false,
        });
        key
    }

    fn wake(&mut self, key: NodeKey) -> Vec<Event> {
        if self.nodes[key.0].wake_at != Some(self.now) {
            return Vec::new();
        }
        self.nodes[key.0].wake_at = None;
        self.input(key, Input::Tick)
    }

    fn schedule_wake(&mut self, key: NodeKey) {
        let node = &mut self.nodes[key.0];
        let Some(due) = node.member.as_ref().and_then(Membership::next_due) else {
            return;
        };
        let due = due.max(self.now);
        if node.wake_at.is_some_and(|at| at <= due) {
            return;
        }
        node.wake_at = Some(due);
        self.enqueue(
            due,
            Step {
                node: key,
                msg: None,
            },
        );
    }

    fn send(&mut self, from: NodeKey, to: HostId, msg: Box<GossipMessage>) {
        let Some(to) = self.key_of(to) else {
            return;
        };
        if self.nodes[from.0].group != self.nodes[to.0].group {
            return;
        }
        for delay in self.faults.deliveries(&mut self.rng) {
            let msg = Some(msg.clone());
            self.enqueue(self.now + delay, Step { node: to, msg });
        }
    }

    fn enqueue(&mut self, due: MonoTime, step: Step) {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.queue.push(Reverse(Queued { due, serial, step }));
    }
}
