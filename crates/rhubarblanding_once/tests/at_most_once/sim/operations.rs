//! Drawn operations on a cluster.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use rhubarblanding_once::prelude::*;
use rhubarblanding_once::safeguards::Safeguards;

use super::cluster::Setup;

/// Size for which the answers of most but not all records are kept.
const KEPT_BYTES_PER_RECORD: usize = 60;

/// Behaviour of the backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backend {
    Run,
    Shed,
    /// Runs the request and sends no answer.
    RunSilent,
    /// Does not run the request and sends no answer.
    Silent,
}

/// One step of a run. Indices are taken modulo the number of elements; keys count back from the
/// newest.
#[derive(Clone, Debug)]
pub enum Op {
    /// A caller whose clock is off by some milliseconds sends a new key through a node.
    Request {
        clock_off: i64,
        entry: usize,
    },
    /// The key is repeated, possibly with another request.
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
    /// The event is lost, and the waiting node is notified.
    Lose(usize),
    Duplicate(usize),
    /// An entry node no longer waits for the member that it forwarded the request to.
    GiveUp(usize),
    CallerDisconnected(usize),
    Backend(Backend),
    Advance(u64),
    /// Every message arrives, and then time passes.
    DeliverAndAdvance(u64),
    Pause(usize),
    Resume(usize),
    /// Some nodes are cut off from the others and from the store.
    Cut(u8),
    /// The host gets a new node without records; the old one may still act once.
    Replace(usize),
    /// One node changes its view of the live members.
    View {
        node: usize,
        dead: Option<usize>,
    },
    /// All nodes have the same view of the live members.
    CommonView {
        dead: Option<usize>,
    },
    Store {
        up: bool,
    },
    /// A replaced node is confirmed to have stopped, and its pending events are removed.
    ConfirmStopped(usize),
}

/// Distribution of the drawn operations and setups.
pub trait Workload: 'static {
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
        3 => (1..100u64).prop_map(Op::DeliverAndAdvance),
    ]
    .boxed()
}

/// Members join and leave as planned, without faults.
pub fn planned_change_ops() -> BoxedStrategy<Op> {
    let dead = proptest::option::of(0..64usize);
    let change = dead.prop_map(|dead| Op::CommonView { dead });
    let time = (200..1_500u64).prop_map(Op::DeliverAndAdvance);
    prop_oneof![8 => benign_ops(), 1 => change, 3 => time].boxed()
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
        1 => i().prop_map(Op::CallerDisconnected),
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
                max_kept_bytes: max_records * KEPT_BYTES_PER_RECORD,
                safeguards,
                ..LedgerSettings::default()
            },
            manager: ManagerSettings {
                lead: Duration::from_millis(2_500),
                proposal_interval: Duration::from_secs(1),
                ..ManagerSettings::default()
            },
        })
        .boxed()
}

pub struct Reference<F>(std::marker::PhantomData<F>);

impl<F: Workload> ReferenceStateMachine for Reference<F> {
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
