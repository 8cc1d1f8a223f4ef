//! Drawn operations on a cluster.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use rhubarblanding_core::ids::{IdempotencyKey, Incarnation};
use rhubarblanding_core::time::UnixMillis;
use rhubarblanding_once::prelude::*;
use rhubarblanding_once::safeguards::Safeguards;

use super::cluster::{Cluster, Setup};
use super::events::{Event, Reply};
use crate::common::START;

/// Greatest number of keys of one run.
const KEYS_MAX: usize = 30;
/// Greatest number of events that are delivered in one operation.
const DELIVERIES_MAX: usize = 2_000;

/// What a backend server does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backend {
    Run,
    Shed,
    /// Runs the request, and the connection goes silent.
    RunSilent,
    /// Does not run the request, and the connection goes silent.
    Silent,
}

/// One step of a run. Indices are taken modulo what there is, for keys from the newest back.
#[derive(Clone, Debug)]
pub enum Op {
    /// A caller whose clock is off by some milliseconds sends a new key through a node.
    Request {
        clock_off: i64,
        entry: usize,
    },
    /// The key is sent again, perhaps with another request.
    Repeat {
        key: usize,
        entry: usize,
        other_request: bool,
    },
    /// A key is sent through two nodes at once.
    Race {
        clock_off: i64,
        entries: [usize; 2],
    },
    Deliver(usize),
    DeliverAll,
    /// The event is lost; who waits for it notices.
    Lose(usize),
    Duplicate(usize),
    /// An entry node no longer waits for the member that it asked.
    GiveUp(usize),
    CallerGone(usize),
    Backend(Backend),
    Advance(u64),
    /// Every message arrives, and then time passes.
    Quiet(u64),
    Pause(usize),
    Resume(usize),
    /// Some nodes are cut off from the others and from the store.
    Cut(u8),
    /// The host gets a new node without records; the old one may still act once.
    Replace(usize),
    /// One node changes its mind about who is alive.
    View {
        node: usize,
        dead: Option<usize>,
    },
    /// All nodes agree on who is alive.
    CommonView {
        dead: Option<usize>,
    },
    Store {
        up: bool,
    },
    /// A replaced node is confirmed to have stopped, and nothing of it is left.
    ConfirmStopped(usize),
}

/// Which operations are drawn.
pub trait Faults: 'static {
    fn ops() -> BoxedStrategy<Op>;
    fn setup() -> BoxedStrategy<Setup>;
}

fn clock_off() -> impl Strategy<Value = i64> + Clone {
    prop_oneof![
        6 => Just(0i64),
        2 => 500..1_900i64,
        1 => Just(-180_000i64),
        1 => Just(240_000i64),
    ]
}

/// Index of a key, mostly of one of the newest.
fn recent() -> impl Strategy<Value = usize> + Clone {
    prop_oneof![3 => 0..3usize, 1 => 0..64usize]
}

fn cut() -> impl Strategy<Value = u8> + Clone {
    prop_oneof![Just(0u8), 1..15u8]
}

pub fn benign_ops() -> BoxedStrategy<Op> {
    let i = || 0..64usize;
    prop_oneof![
        4 => i().prop_map(|entry| Op::Request { clock_off: 0, entry }),
        4 => (i(), i()).prop_map(|(key, entry)| Op::Repeat { key, entry, other_request: false }),
        2 => [i(), i()].prop_map(|entries| Op::Race { clock_off: 0, entries }),
        4 => i().prop_map(Op::Deliver),
        4 => Just(Op::DeliverAll),
        3 => (1..100u64).prop_map(Op::Quiet),
    ]
    .boxed()
}

pub fn faulty_ops() -> BoxedStrategy<Op> {
    let i = || 0..64usize;
    let backend = prop_oneof![
        3 => Just(Backend::Run),
        1 => Just(Backend::Shed),
        1 => Just(Backend::RunSilent),
        1 => Just(Backend::Silent),
    ];
    let advance = prop_oneof![1..100u64, 200..600u64, 1_000..4_000u64];
    let dead = || proptest::option::of(i());
    let disturb = prop_oneof![
        3 => i().prop_map(Op::Lose),
        2 => i().prop_map(Op::Duplicate),
        3 => i().prop_map(Op::GiveUp),
        1 => i().prop_map(Op::CallerGone),
        2 => backend.prop_map(Op::Backend),
        2 => i().prop_map(Op::Pause),
        2 => i().prop_map(Op::Resume),
        1 => cut().prop_map(Op::Cut),
        1 => i().prop_map(Op::Replace),
        1 => i().prop_map(Op::ConfirmStopped),
        1 => (i(), dead()).prop_map(|(node, dead)| Op::View { node, dead }),
        2 => dead().prop_map(|dead| Op::CommonView { dead }),
        1 => any::<bool>().prop_map(|up| Op::Store { up }),
    ];
    let request = prop_oneof![
        3 => (clock_off(), i()).prop_map(|(clock_off, entry)| Op::Request { clock_off, entry }),
        6 => (recent(), i(), 0..20u8).prop_map(|(key, entry, other)| Op::Repeat {
            key,
            entry,
            other_request: other == 0,
        }),
        2 => (clock_off(), [i(), i()])
            .prop_map(|(clock_off, entries)| Op::Race { clock_off, entries }),
    ];
    let deliver = prop_oneof![
        4 => i().prop_map(Op::Deliver),
        2 => Just(Op::DeliverAll),
        2 => advance.prop_map(Op::Advance),
    ];
    prop_oneof![2 => request, 3 => deliver, 2 => disturb].boxed()
}

/// Operations among which changes of the table and nodes that miss them are frequent.
pub fn table_change_ops() -> BoxedStrategy<Op> {
    let i = || 0..64usize;
    let clock_off = || 0..1_900i64;
    let dead = || proptest::option::of(i());
    prop_oneof![
        3 => (clock_off(), i()).prop_map(|(clock_off, entry)| Op::Request { clock_off, entry }),
        2 => (clock_off(), [i(), i()])
            .prop_map(|(clock_off, entries)| Op::Race { clock_off, entries }),
        8 => (recent(), i()).prop_map(|(key, entry)| Op::Repeat { key, entry, other_request: false }),
        3 => i().prop_map(Op::Lose),
        3 => i().prop_map(Op::GiveUp),
        8 => i().prop_map(Op::Deliver),
        6 => Just(Op::DeliverAll),
        6 => (200..1_500u64).prop_map(Op::Advance),
        1 => i().prop_map(Op::Pause),
        2 => i().prop_map(Op::Resume),
        5 => dead().prop_map(|dead| Op::CommonView { dead }),
        2 => cut().prop_map(Op::Cut),
        1 => i().prop_map(Op::Replace),
        1 => i().prop_map(Op::ConfirmStopped),
        1 => proptest::bool::weighted(0.8).prop_map(|up| Op::Store { up }),
    ]
    .boxed()
}

pub fn setup(safeguards: Safeguards, few_records: bool) -> BoxedStrategy<Setup> {
    let zones = prop_oneof![
        1 => Just(vec![0, 1, 2]),
        3 => Just(vec![0, 1, 2, 3]),
        1 => Just(vec![0, 0, 1, 2]),
        1 => Just(vec![0, 1]),
        1 => Just(vec![0, 0, 0]),
        1 => Just(vec![0]),
    ];
    let offsets = vec(-400..400i64, 5);
    let few_records = u32::from(few_records);
    let max_records = prop_oneof![3 => Just(1_000usize), few_records => Just(2usize)];
    (zones, offsets, max_records)
        .prop_map(move |(zones, offsets, max_records)| Setup {
            zones,
            offsets,
            ledger: LedgerSettings {
                max_records,
                safeguards,
                ..LedgerSettings::default()
            },
            keeper: KeeperSettings {
                lead: Duration::from_millis(2_500),
                proposal_interval: Duration::from_secs(1),
                ..KeeperSettings::default()
            },
        })
        .boxed()
}

pub struct Reference<F>(std::marker::PhantomData<F>);

impl<F: Faults> ReferenceStateMachine for Reference<F> {
    type State = Setup;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<Setup> {
        F::setup()
    }

    fn transitions(_: &Setup) -> BoxedStrategy<Op> {
        F::ops()
    }

    fn apply(state: Setup, _: &Op) -> Setup {
        state
    }
}

impl Cluster {
    pub fn apply(&mut self, op: Op) {
        let nodes = self.nodes.len();
        match op {
            Op::Request { clock_off, entry } => self.new_request(clock_off, &[entry]),
            Op::Race { clock_off, entries } => self.new_request(clock_off, &entries),
            Op::Repeat {
                key,
                entry,
                other_request,
            } => {
                if !self.keys.is_empty() {
                    let keys = self.keys.len();
                    let key = self.keys[keys - 1 - key % keys];
                    let fingerprint = Fingerprint(u64::from(other_request));
                    self.request(key, fingerprint, entry % nodes);
                }
            }
            Op::Deliver(index) => {
                if let Some(event) = self.take(index) {
                    self.deliver(event);
                }
            }
            Op::DeliverAll => self.deliver_all(),
            Op::Lose(index) => self.lose_at(index),
            Op::Duplicate(index) => {
                let events = self.events.len().max(1);
                let event = self.events.get(index % events).cloned();
                self.events.extend(event.filter(Event::may_repeat));
            }
            Op::GiveUp(index) => {
                if let Some((caller, _)) = self.waiting(index) {
                    self.reply(caller, Reply::Failure(AskFailure::NoAnswer));
                }
            }
            Op::CallerGone(index) => self.caller_gone(index),
            Op::Backend(backend) => self.backend = backend,
            Op::Advance(millis) => {
                self.millis += millis;
                self.tick();
            }
            Op::Quiet(millis) => {
                self.deliver_all();
                self.apply(Op::Advance(millis));
            }
            Op::Pause(node) => self.nodes[node % nodes].paused = true,
            Op::Resume(node) => self.resume(node % nodes),
            Op::Cut(nodes) => self.cut = nodes,
            Op::Replace(node) => self.replace(node % nodes),
            Op::View { node, dead } => {
                let members = self.members(dead);
                self.keep(node % nodes, KeeperInput::View(members));
            }
            Op::CommonView { dead } => {
                let members = self.members(dead);
                for node in 0..nodes {
                    self.keep(node, KeeperInput::View(members.clone()));
                }
            }
            Op::Store { up } => self.store_up = up,
            Op::ConfirmStopped(node) => self.confirm_stopped(node % nodes),
        }
    }

    fn new_request(&mut self, clock_off: i64, entries: &[usize]) {
        if self.keys.len() >= KEYS_MAX {
            return;
        }
        let wall = (START.0 + self.millis).saturating_add_signed(clock_off);
        let key = IdempotencyKey::mint(UnixMillis(wall), [self.keys.len() as u8; 10]);
        self.keys.push(key);
        for entry in entries {
            self.request(key, Fingerprint(0), entry % self.nodes.len());
        }
    }

    fn take(&mut self, index: usize) -> Option<Event> {
        let events = self.events.len();
        if events == 0 || self.is_held(&self.events[index % events]) {
            return None;
        }
        Some(self.events.remove(index % events))
    }

    fn deliver_all(&mut self) {
        for _ in 0..DELIVERIES_MAX {
            let next = self.events.iter().position(|event| !self.is_held(event));
            let Some(event) = next.map(|index| self.events.remove(index)) else {
                return;
            };
            self.deliver(event);
        }
    }

    fn lose_at(&mut self, index: usize) {
        let events = self.events.len().max(1);
        let index = index % events;
        let Some(event) = self.events.get(index).cloned().filter(Event::is_remote) else {
            return;
        };
        // A store call that is reported as unanswered may still take effect.
        if !matches!(event, Event::Store(..)) {
            self.events.remove(index);
        }
        self.lose(event);
    }

    fn waiting(&self, index: usize) -> Option<(CallerId, MemberId)> {
        let waiting: Vec<_> = self.requests.iter().filter_map(|r| r.current).collect();
        waiting.get(index % waiting.len().max(1)).copied()
    }

    fn caller_gone(&mut self, index: usize) {
        let Some((caller, to)) = self.waiting(index) else {
            return;
        };
        let request = self
            .requests
            .iter()
            .find(|r| r.current == Some((caller, to)));
        if let (Some(key), Some(node)) = (request.map(|r| r.key), self.at_host(to)) {
            self.feed(node, Input::CallerGone { caller, key });
        }
    }

    fn replace(&mut self, node: usize) {
        let mut member = self.nodes[node].ledger.member().clone();
        if self.nodes[node].replaced {
            return;
        }
        self.nodes[node].replaced = true;
        let lives = self.nodes.len() as u64;
        member.id.incarnation = Incarnation(lives + 1);
        let other = self.nodes.iter().find(|node| !node.replaced);
        let table = other.and_then(|node| node.ledger.table().cloned());
        self.add_node(member, table);
    }

    fn resume(&mut self, node: usize) {
        self.nodes[node].paused = self.nodes[node].stopped;
    }

    fn confirm_stopped(&mut self, node: usize) {
        if !self.nodes[node].replaced {
            return;
        }
        self.nodes[node].paused = true;
        self.nodes[node].stopped = true;
        self.events.retain(|event| !event.is_of(node));
        let id = self.nodes[node].ledger.member().id;
        for keeper in 0..self.nodes.len() {
            self.keep(keeper, KeeperInput::Stopped(id));
        }
    }

    /// Members at the hosts, without one of them.
    fn members(&self, dead: Option<usize>) -> Vec<Member> {
        let alive = self.nodes.iter().filter(|node| !node.replaced);
        let mut members: Vec<Member> = alive.map(|node| node.ledger.member().clone()).collect();
        if let Some(dead) = dead.filter(|_| members.len() > 1) {
            members.remove(dead % members.len());
        }
        members
    }
}
