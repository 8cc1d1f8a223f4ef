//! Actions and faults, which may happen in any order.

use proptest::prelude::*;

/// Number of operators, each with a submitter of its own.
pub const OPERATORS: usize = 3;
/// Number of nodes that adopt documents.
pub const NODES: usize = 4;
/// Number of services that tickets name.
pub const SERVICES: usize = 4;
/// Highest ticket number that an operator chooses.
pub const NUMBERS: u64 = 24;

/// Fault of one call to the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// A read returns the state of this many revisions ago.
    Stale(usize),
    /// The call is refused and not applied.
    Unavailable,
    /// The request is lost.
    LostBefore,
    /// The call is applied and the answer is lost.
    LostAfter,
    /// The answer does not arrive in time; the call may be applied later.
    Delayed,
}

/// One action of a case.
#[derive(Clone, Debug)]
pub enum Action {
    /// An operator submits a new ticket.
    Submit {
        operator: usize,
        number: u64,
        set: Vec<bool>,
        removed: Vec<bool>,
    },
    /// An operator repeats an earlier submission of any operator.
    Repeat { operator: usize, earlier: usize },
    /// An operator's submitter takes one step.
    Step { operator: usize, fault: Fault },
    /// An operator's submitter takes steps until it is done or a call fails.
    Finish { operator: usize },
    /// The process of an operator's submitter restarts without its state.
    Restart { operator: usize },
    /// A delayed write arrives at the service.
    ApplyDelayed { index: usize },
    /// A delayed write is lost.
    DropDelayed { index: usize },
    /// The outage of the service begins or ends.
    Outage { on: bool },
    /// A node receives the document of `age` revisions ago from the service.
    Deliver { node: usize, age: usize },
    /// A node sends its document to another.
    Gossip { from: usize, to: usize },
    /// A node is disconnected or reconnected.
    Disconnect { node: usize, on: bool },
    /// A node is replaced by a new instance.
    Replace { node: usize },
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        2 => (1_usize..4).prop_map(Fault::Stale),
        1 => Just(Fault::Unavailable),
        1 => Just(Fault::LostBefore),
        2 => Just(Fault::LostAfter),
        2 => Just(Fault::Delayed),
    ]
}

fn some_services() -> impl Strategy<Value = Vec<bool>> {
    proptest::collection::vec(proptest::bool::weighted(0.4), SERVICES)
}

fn submit() -> impl Strategy<Value = Action> {
    (0..OPERATORS, 1..=NUMBERS, some_services(), some_services()).prop_map(
        |(operator, number, set, removed)| Action::Submit {
            operator,
            number,
            set,
            removed,
        },
    )
}

/// Returns a strategy for any action; steps of submitters are the most frequent.
pub fn any_action() -> impl Strategy<Value = Action> {
    prop_oneof![
        8 => submit(),
        4 => (0..OPERATORS, any::<prop::sample::Index>())
            .prop_map(|(operator, index)| Action::Repeat { operator, earlier: index.index(1 << 16) }),
        24 => (0..OPERATORS, any_fault())
            .prop_map(|(operator, fault)| Action::Step { operator, fault }),
        6 => (0..OPERATORS).prop_map(|operator| Action::Finish { operator }),
        2 => (0..OPERATORS).prop_map(|operator| Action::Restart { operator }),
        4 => (0_usize..8).prop_map(|index| Action::ApplyDelayed { index }),
        1 => (0_usize..8).prop_map(|index| Action::DropDelayed { index }),
        2 => proptest::bool::weighted(0.3).prop_map(|on| Action::Outage { on }),
        8 => (0..NODES, 0_usize..4).prop_map(|(node, age)| Action::Deliver { node, age }),
        6 => (0..NODES, 0..NODES).prop_map(|(from, to)| Action::Gossip { from, to }),
        2 => (0..NODES, any::<bool>()).prop_map(|(node, on)| Action::Disconnect { node, on }),
        1 => (0..NODES).prop_map(|node| Action::Replace { node }),
    ]
}
