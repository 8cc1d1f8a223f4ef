//! A keeper and a store that fails.

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_core::ids::TableVersion;
use rhubarblanding_once::prelude::*;
use rhubarblanding_once::table::Epoch;

use crate::common::{START, at, member, service};

fn members(count: u8) -> Vec<Member> {
    (0..count).map(|host| member(host, 1, host)).collect()
}

fn table() -> HomeTable {
    HomeTable::bootstrap(service(), START, members(3)).unwrap()
}

fn keeper(host: u8) -> TableKeeper {
    TableKeeper::new(member(host, 1, host), service(), KeeperSettings::default())
}

/// Keeper that has sent a swap to remove the last of three members.
fn proposing() -> (TableKeeper, HomeTable) {
    let mut keeper = keeper(0);
    keeper.handle(at(0), KeeperInput::View(members(2)));
    let out = keeper.handle(at(0), KeeperInput::Read(ReadResult::Table(table())));
    let Some(KeeperOutput::Swap { table, .. }) = out.last().cloned() else {
        panic!("no swap: {out:?}");
    };
    (keeper, table)
}

#[gtest]
fn first_table_is_written_if_there_is_none() {
    let mut keeper = keeper(0);
    let out = keeper.handle(at(0), KeeperInput::View(members(3)));
    expect_that!(out, eq(&vec![KeeperOutput::Read]));
    let out = keeper.handle(at(0), KeeperInput::Read(ReadResult::Absent));
    let (expected, table) = (None, table());
    expect_that!(out, eq(&vec![KeeperOutput::Swap { expected, table }]));
}

#[gtest]
fn only_the_first_member_of_the_view_acts() {
    expect_that!(
        keeper(1).handle(at(0), KeeperInput::View(members(3))),
        is_empty()
    );
}

#[gtest]
fn lost_answer_is_settled_by_reading_back() {
    let (mut keeper, proposed) = proposing();
    expect_that!(
        keeper.handle(at(0), KeeperInput::Swap(SwapResult::Unknown)),
        is_empty()
    );
    let out = keeper.handle(at(1_000), KeeperInput::Tick);
    expect_that!(out, eq(&vec![KeeperOutput::Read]));
    let read = KeeperInput::Read(ReadResult::Table(proposed.clone()));
    let out = keeper.handle(at(1_000), read);
    expect_that!(
        out,
        elements_are![pat!(KeeperOutput::Spread {
            table: eq(&proposed),
            ..
        })]
    );
}

#[gtest]
fn write_without_effect_is_made_again() {
    let (mut keeper, _) = proposing();
    keeper.handle(at(0), KeeperInput::Swap(SwapResult::Unknown));
    keeper.handle(at(1_000), KeeperInput::Tick);
    keeper.handle(at(1_000), KeeperInput::Read(ReadResult::Table(table())));
    let out = keeper.handle(at(20_000), KeeperInput::Tick);
    expect_that!(
        out,
        contains(pat!(KeeperOutput::Swap {
            expected: some(eq(&TableVersion(1))),
            ..
        }))
    );
}

#[gtest]
fn conflict_is_read_at_once() {
    let (mut keeper, _) = proposing();
    let out = keeper.handle(at(0), KeeperInput::Swap(SwapResult::Conflict));
    expect_that!(out, eq(&vec![KeeperOutput::Read]));
}

#[gtest]
fn store_that_is_down_is_asked_once_in_an_interval() {
    let mut keeper = keeper(0);
    let mut out = keeper.handle(at(0), KeeperInput::View(members(3)));
    let mut reads = 0;
    for millis in (0..60_000).step_by(100) {
        if out.contains(&KeeperOutput::Read) {
            reads += 1;
            keeper.handle(at(millis), KeeperInput::Read(ReadResult::Unavailable));
        }
        out = keeper.handle(at(millis), KeeperInput::Tick);
    }
    expect_that!(reads, le(60));
}

#[gtest]
fn two_lost_zones_block_the_table_until_their_stop_is_confirmed() {
    let mut keeper = keeper(0);
    keeper.handle(at(0), KeeperInput::View(members(1)));
    keeper.handle(at(0), KeeperInput::Read(ReadResult::Table(table())));
    expect_that!(keeper.blocking_members().len(), eq(2));
    let out = keeper.handle(at(0), KeeperInput::Stopped(member(2, 1, 2).id));
    expect_that!(keeper.blocking_members(), is_empty());
    expect_that!(out, contains(pat!(KeeperOutput::Swap { .. })));
}

/// Epoch that the keeper of a restarted first host proposes at `millis`, if any. It knows itself
/// from the start and the second host from `known_at` on; the table has both, by their first lives.
fn proposed_after_restart(known_at: u64, millis: u64) -> Option<Epoch> {
    let (own, other) = (member(0, 2, 0), member(1, 1, 1));
    let table = HomeTable::bootstrap(service(), START, members(2)).unwrap();
    let mut keeper = TableKeeper::new(own.clone(), service(), KeeperSettings::default());
    keeper.handle(at(0), KeeperInput::View(vec![own.clone()]));
    let mut out = keeper.handle(at(0), KeeperInput::Read(ReadResult::Table(table)));
    out.extend(keeper.handle(at(0), KeeperInput::Stopped(member(0, 1, 0).id)));
    for now in (0..=millis).step_by(500) {
        let mut view = vec![own.clone()];
        view.extend((now >= known_at).then(|| other.clone()));
        out.extend(keeper.handle(at(now), KeeperInput::View(view)));
    }
    out.iter().find_map(|output| match output {
        KeeperOutput::Swap { table, .. } => table.proposed().cloned(),
        _ => None,
    })
}

#[gtest]
fn restarted_member_waits_until_it_knows_the_others() {
    let proposed = proposed_after_restart(1_000, 1_000);
    let lead = KeeperSettings::default().lead;
    // A start that need not rely on the confirmed stop is near.
    expect_that!(
        proposed.map(|epoch| (epoch.from, epoch.members.len())),
        some(eq((START + Duration::from_secs(1) + lead, 2)))
    );
}

#[gtest]
fn restarted_member_whose_others_are_gone_relies_on_the_confirmed_stop() {
    let join_time = KeeperSettings::default().join_time;
    expect_that!(proposed_after_restart(u64::MAX, 500), none());
    let proposed = proposed_after_restart(u64::MAX, join_time.as_millis() as u64);
    expect_that!(proposed.map(|epoch| epoch.members.len()), some(eq(1)));
}
