//! Changes of the table under faults, each with and without the safeguard against it.

use googletest::prelude::*;
use rhubarblanding_core::cases;
use rhubarblanding_once::prelude::*;
use rhubarblanding_once::safeguards::Safeguards;

use crate::common::member;
use crate::sim::{Cluster, Op, Setup};

/// Keys of one scenario, enough for every placement to occur.
const KEYS: usize = 30;
/// Time after which a proposed epoch has begun, in milliseconds.
const PAST_LEAD_MILLIS: u64 = 5_000;
/// Offset of a clock that is behind by more than the lead of a proposal, in milliseconds.
const SLOW_CLOCK_MILLIS: i64 = -6_000;
/// Offset of a clock that is far ahead, in milliseconds.
const FAST_CLOCK_MILLIS: i64 = 3_600_000;
/// Time after which the vote of the witness is requested, in milliseconds.
const PAST_FALLBACK_MILLIS: u64 = 60;
/// Bit set of the last two of four nodes.
const LAST_TWO: u8 = 0b1100;
const LAST: Option<usize> = Some(3);

/// Nodes in different availability zones. The clock of the first is off by `first_offset`.
fn cluster(safeguards: Safeguards, nodes: u8, first_offset: i64) -> Cluster {
    Cluster::new(Setup {
        zones: (0..nodes).collect(),
        offsets: vec![first_offset, 0, 0, 0, 0, 0, 0],
        ledger: LedgerSettings {
            safeguards,
            ..LedgerSettings::default()
        },
        manager: ManagerSettings {
            safeguards,
            ..ManagerSettings::default()
        },
    })
}

/// Delivers events in order until `done`.
fn deliver_until(cluster: &mut Cluster, done: impl Fn(&Cluster) -> bool) {
    while !done(cluster) {
        cluster.apply(Op::Deliver(0));
    }
}

fn settle(cluster: &mut Cluster) {
    for _ in 0..8 {
        cluster.apply(Op::DeliverAll);
        cluster.apply(Op::Advance(PAST_FALLBACK_MILLIS));
    }
}

fn race(cluster: &mut Cluster, entries: [usize; 2]) {
    for _ in 0..KEYS {
        cluster.apply(Op::Race {
            clock_off: 0,
            entries,
        });
    }
    settle(cluster);
}

fn repeat_all(cluster: &mut Cluster, entry: usize) {
    for key in 0..KEYS {
        cluster.apply(Op::Repeat {
            key,
            entry,
            other_request: false,
        });
    }
    settle(cluster);
}

/// All nodes adopt a proposal, and two of them do not receive its activation.
fn cut_off_after_adoption(safeguards: Safeguards) -> Cluster {
    let mut cluster = cluster(safeguards, 4, 0);
    cluster.apply(Op::CommonView { dead: LAST });
    deliver_until(&mut cluster, |cluster| {
        let document = cluster.document.as_ref();
        document.is_some_and(|table| table.newest_active().members.len() == 3)
    });
    cluster.apply(Op::Cut(LAST_TWO));
    cluster.apply(Op::DeliverAll);
    cluster.apply(Op::Advance(PAST_LEAD_MILLIS));
    race(&mut cluster, [0, 2]);
    cluster
}

/// The proposing node's clock is so far behind that the epoch holds keys that ran already.
fn proposal_in_the_past(safeguards: Safeguards) -> Cluster {
    let mut cluster = cluster(safeguards, 3, SLOW_CLOCK_MILLIS);
    race(&mut cluster, [1, 2]);
    for host in 3..6 {
        let table = cluster.document.clone();
        cluster.add_node(member(host, 1, host), table);
    }
    cluster.apply(Op::CommonView { dead: None });
    settle(&mut cluster);
    repeat_all(&mut cluster, 1);
    cluster
}

/// A proposal reaches only two of four members.
fn proposal_of_a_minority(safeguards: Safeguards) -> Cluster {
    let mut cluster = cluster(safeguards, 4, 0);
    cluster.apply(Op::Cut(LAST_TWO));
    cluster.apply(Op::CommonView { dead: LAST });
    cluster.apply(Op::DeliverAll);
    cluster.apply(Op::Advance(PAST_LEAD_MILLIS));
    race(&mut cluster, [0, 2]);
    cluster
}

/// A node whose clock is an hour ahead accepts keys that the others refuse, and the table still
/// changes.
#[gtest]
fn fast_clock_does_not_delay_the_table() {
    let mut cluster = cluster(Safeguards::default(), 4, FAST_CLOCK_MILLIS);
    for _ in 0..KEYS {
        let clock_off = FAST_CLOCK_MILLIS;
        cluster.apply(Op::Request {
            clock_off,
            entry: 1,
        });
    }
    settle(&mut cluster);
    expect_that!(cluster.oracle.tally.runs, eq(0));
    cluster.apply(Op::Replace(0));
    cluster.apply(Op::CommonView { dead: None });
    settle(&mut cluster);
    expect_that!(cluster.oracle.tally.epochs_activated, eq(1));
}

/// The first member cannot reach the store, and the next one changes the table in its place.
#[gtest]
fn next_member_takes_over_the_table() {
    let mut cluster = cluster(Safeguards::default(), 4, 0);
    cluster.apply(Op::Cut(0b1));
    cluster.apply(Op::CommonView { dead: LAST });
    settle(&mut cluster);
    expect_that!(cluster.oracle.tally.epochs_activated, eq(0));
    for _ in 0..40 {
        cluster.apply(Op::DeliverAndAdvance(1_000));
    }
    expect_that!(cluster.oracle.tally.epochs_activated, eq(1));
}

fn three_nodes() -> Cluster {
    cluster(Safeguards::default(), 3, 0)
}

/// Waits until every request has an answer; an entry node that waits for a paused node gives up and
/// tries another.
fn settle_without_paused(cluster: &mut Cluster) {
    settle(cluster);
    while cluster
        .requests
        .iter()
        .any(|request| request.current.is_some())
    {
        cluster.apply(Op::GiveUp(0));
        settle(cluster);
    }
}

fn all_answered(cluster: &Cluster, requests: usize) {
    assert_eq!(cluster.oracle.violation, None);
    assert_eq!(
        cluster.oracle.tally.refused.len(),
        0,
        "{:?}",
        cluster.oracle.tally
    );
    assert_eq!(cluster.oracle.tally.answered, requests as u64);
}

/// With one of three nodes missing, every new key still runs, before the table has changed.
fn new_keys_run_without_one_node(fault: Op) {
    let mut cluster = three_nodes();
    cluster.apply(fault);
    race(&mut cluster, [0, 1]);
    settle_without_paused(&mut cluster);
    all_answered(&cluster, 2 * KEYS);
}

/// With one of three nodes missing, every key that ran is answered with the bytes of its run.
fn old_keys_are_answered_without_one_node(fault: Op) {
    let mut cluster = three_nodes();
    race(&mut cluster, [0, 1]);
    cluster.apply(fault);
    repeat_all(&mut cluster, 0);
    settle_without_paused(&mut cluster);
    all_answered(&cluster, 3 * KEYS);
}

cases! {
    new_keys_run_without_one_node;
    new_keys_run_after_a_node_was_replaced: (Op::Replace(2));
    new_keys_run_while_a_node_is_paused: (Op::Pause(2));
    new_keys_run_while_a_node_is_cut_off: (Op::Cut(0b100));
    new_keys_run_while_the_store_is_down: (Op::Store { up: false });
}

/// No request waits for a member that refuses connections.
#[gtest]
fn unreachable_member_is_not_waited_for() {
    let mut cluster = three_nodes();
    cluster.apply(Op::Cut(0b100));
    for _ in 0..KEYS {
        cluster.apply(Op::Race {
            clock_off: 0,
            entries: [0, 1],
        });
    }
    cluster.apply(Op::DeliverAll);
    all_answered(&cluster, 2 * KEYS);
}

cases! {
    old_keys_are_answered_without_one_node;
    old_keys_are_answered_after_a_node_was_replaced: (Op::Replace(2));
    old_keys_are_answered_while_a_node_is_paused: (Op::Pause(2));
    old_keys_are_answered_while_a_node_is_cut_off: (Op::Cut(0b100));
}

fn holds(scenario: fn(Safeguards) -> Cluster) {
    let cluster = scenario(Safeguards::default());
    assert_eq!(cluster.oracle.violation, None);
    assert!(cluster.oracle.tally.answered > 0);
}

fn detects_violation(scenario: fn(Safeguards) -> Cluster, safeguards: Safeguards) {
    let cluster = scenario(safeguards);
    assert!(cluster.oracle.violation.is_some());
}

cases! {
    holds;
    cut_off_after_adoption_runs_nothing_twice: (cut_off_after_adoption);
    proposal_in_the_past_runs_nothing_twice: (proposal_in_the_past);
    proposal_of_a_minority_runs_nothing_twice: (proposal_of_a_minority);
}

cases! {
    detects_violation;
    missing_adoption_gate_is_detected: (
        cut_off_after_adoption,
        Safeguards { adoption_gate: false, ..Safeguards::default() },
    );
    missing_mint_check_is_detected: (
        proposal_in_the_past,
        Safeguards { mint_check: false, ..Safeguards::default() },
    );
    missing_adoption_acks_are_detected: (
        proposal_of_a_minority,
        Safeguards { adoption_acks: false, ..Safeguards::default() },
    );
}
