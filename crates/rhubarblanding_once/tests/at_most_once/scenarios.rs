//! Changes of the table at the worst moment, each with and without the mechanism that answers it.

use rhubarblanding_core::cases;
use rhubarblanding_once::prelude::*;
use rhubarblanding_once::safeguards::Safeguards;

use crate::common::member;
use crate::sim::{Cluster, Op, Setup};

/// Keys of one scenario, enough for every placement to occur.
const KEYS: usize = 30;
/// Time after which a proposed epoch has begun, in milliseconds.
const PAST_LEAD_MILLIS: u64 = 5_000;
/// Offset of a clock that is further behind than a proposal looks ahead, in milliseconds.
const SLOW_CLOCK_MILLIS: i64 = -6_000;
/// Time after which the witness is asked, in milliseconds.
const PAST_FALLBACK_MILLIS: u64 = 60;
/// Bit set of the last two of four nodes.
const LAST_TWO: u8 = 0b1100;
const LAST: Option<usize> = Some(3);

/// Nodes in as many availability zones, the first of which has a clock that is off.
fn cluster(safeguards: Safeguards, nodes: u8, first_offset: i64) -> Cluster {
    Cluster::new(Setup {
        zones: (0..nodes).collect(),
        offsets: vec![first_offset, 0, 0, 0],
        ledger: LedgerSettings {
            safeguards,
            ..LedgerSettings::default()
        },
        keeper: KeeperSettings {
            safeguards,
            ..KeeperSettings::default()
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

/// All nodes adopt a proposal, and two of them do not hear that it became active.
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
    let mut cluster = cluster(safeguards, 2, SLOW_CLOCK_MILLIS);
    race(&mut cluster, [0, 1]);
    for host in 2..4 {
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

fn holds(scenario: fn(Safeguards) -> Cluster) {
    let cluster = scenario(Safeguards::default());
    assert_eq!(cluster.oracle.violation, None);
    assert!(cluster.oracle.tally.answered > 0);
}

fn shows(scenario: fn(Safeguards) -> Cluster, safeguards: Safeguards) {
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
    shows;
    missing_adoption_gate_shows: (
        cut_off_after_adoption,
        Safeguards { adoption_gate: false, ..Safeguards::default() },
    );
    missing_mint_check_shows: (
        proposal_in_the_past,
        Safeguards { mint_check: false, ..Safeguards::default() },
    );
    missing_adoption_acks_show: (
        proposal_of_a_minority,
        Safeguards { adoption_acks: false, ..Safeguards::default() },
    );
}
