//! A manager and a store that fails.

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

fn manager(host: u8) -> TableManager {
    TableManager::new(member(host, 1, host), service(), ManagerSettings::default())
}

/// Manager that has sent a swap to remove the last of three members.
fn proposing() -> (TableManager, HomeTable) {
    let mut manager = manager(0);
    manager.handle(at(0), ManagerInput::View(members(2)));
    let out = manager.handle(at(0), ManagerInput::Read(ReadResult::Table(table())));
    let Some(ManagerOutput::Swap { table, .. }) = out.last().cloned() else {
        panic!("no swap: {out:?}");
    };
    (manager, table)
}

#[gtest]
fn first_table_is_written_if_there_is_none() {
    let mut manager = manager(0);
    let out = manager.handle(at(0), ManagerInput::View(members(3)));
    expect_that!(out, eq(&vec![ManagerOutput::Read]));
    let out = manager.handle(at(0), ManagerInput::Read(ReadResult::Absent));
    let (expected, table) = (None, table());
    expect_that!(out, eq(&vec![ManagerOutput::Swap { expected, table }]));
}

#[gtest]
fn only_the_first_member_of_the_view_acts() {
    expect_that!(
        manager(1).handle(at(0), ManagerInput::View(members(3))),
        is_empty()
    );
}

#[gtest]
fn lost_answer_is_settled_by_reading_back() {
    let (mut manager, proposed) = proposing();
    expect_that!(
        manager.handle(at(0), ManagerInput::Swap(SwapResult::Unknown)),
        is_empty()
    );
    let out = manager.handle(at(1_000), ManagerInput::Tick);
    expect_that!(out, eq(&vec![ManagerOutput::Read]));
    let read = ManagerInput::Read(ReadResult::Table(proposed.clone()));
    let out = manager.handle(at(1_000), read);
    expect_that!(
        out,
        elements_are![pat!(ManagerOutput::Distribute {
            table: eq(&proposed),
            ..
        })]
    );
}

#[gtest]
fn write_without_effect_is_retried() {
    let (mut manager, _) = proposing();
    manager.handle(at(0), ManagerInput::Swap(SwapResult::Unknown));
    manager.handle(at(1_000), ManagerInput::Tick);
    manager.handle(at(1_000), ManagerInput::Read(ReadResult::Table(table())));
    let out = manager.handle(at(20_000), ManagerInput::Tick);
    expect_that!(
        out,
        contains(pat!(ManagerOutput::Swap {
            expected: some(eq(&TableVersion(1))),
            ..
        }))
    );
}

#[gtest]
fn conflict_is_read_at_once() {
    let (mut manager, _) = proposing();
    let out = manager.handle(at(0), ManagerInput::Swap(SwapResult::Conflict));
    expect_that!(out, eq(&vec![ManagerOutput::Read]));
}

#[gtest]
fn unavailable_store_is_read_once_per_interval() {
    let mut manager = manager(0);
    let mut out = manager.handle(at(0), ManagerInput::View(members(3)));
    let mut reads = 0;
    for millis in (0..60_000).step_by(100) {
        if out.contains(&ManagerOutput::Read) {
            reads += 1;
            manager.handle(at(millis), ManagerInput::Read(ReadResult::Unavailable));
        }
        out = manager.handle(at(millis), ManagerInput::Tick);
    }
    expect_that!(reads, le(60));
}

#[gtest]
fn two_lost_zones_block_the_table_until_their_stop_is_confirmed() {
    let mut manager = manager(0);
    manager.handle(at(0), ManagerInput::View(members(1)));
    manager.handle(at(0), ManagerInput::Read(ReadResult::Table(table())));
    expect_that!(manager.blocking_members().len(), eq(2));
    let out = manager.handle(at(0), ManagerInput::Stopped(member(2, 1, 2).id));
    expect_that!(manager.blocking_members(), is_empty());
    expect_that!(out, contains(pat!(ManagerOutput::Swap { .. })));
}

/// Epoch that the manager of a restarted first host proposes at `millis`, if any. Its view has
/// itself from the start and the second host from `known_at` on; the table has both first
/// incarnations.
fn proposed_after_restart(known_at: u64, millis: u64) -> Option<Epoch> {
    let (own, other) = (member(0, 2, 0), member(1, 1, 1));
    let table = HomeTable::bootstrap(service(), START, members(2)).unwrap();
    let mut manager = TableManager::new(own.clone(), service(), ManagerSettings::default());
    manager.handle(at(0), ManagerInput::View(vec![own.clone()]));
    let mut out = manager.handle(at(0), ManagerInput::Read(ReadResult::Table(table)));
    out.extend(manager.handle(at(0), ManagerInput::Stopped(member(0, 1, 0).id)));
    for now in (0..=millis).step_by(500) {
        let mut view = vec![own.clone()];
        view.extend((now >= known_at).then(|| other.clone()));
        out.extend(manager.handle(at(now), ManagerInput::View(view)));
    }
    out.iter().find_map(|output| match output {
        ManagerOutput::Swap { table, .. } => table.proposed().cloned(),
        _ => None,
    })
}

#[gtest]
fn restarted_member_waits_for_the_other_members() {
    let proposed = proposed_after_restart(1_000, 1_000);
    let lead = ManagerSettings::default().lead;
    // The epoch begins soon, because it need not rely on the confirmed stop.
    expect_that!(
        proposed.map(|epoch| (epoch.from, epoch.members.len())),
        some(eq((START + Duration::from_secs(1) + lead, 2)))
    );
}

#[gtest]
fn restarted_member_without_others_relies_on_the_confirmed_stop() {
    let join_time = ManagerSettings::default().join_time;
    expect_that!(proposed_after_restart(u64::MAX, 500), none());
    let proposed = proposed_after_restart(u64::MAX, join_time.as_millis() as u64);
    expect_that!(proposed.map(|epoch| epoch.members.len()), some(eq(1)));
}
