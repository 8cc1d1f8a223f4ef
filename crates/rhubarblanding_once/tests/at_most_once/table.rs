//! Placement of keys and checks of the document.

use googletest::prelude::*;
use rhubarblanding_core::cases;
use rhubarblanding_core::ids::IdempotencyKey;
use rhubarblanding_core::time::UnixMillis;
use rhubarblanding_once::prelude::*;
use serde_json::json;

use crate::common::{START, member, service};

fn key(millis: u64, random: u8) -> IdempotencyKey {
    IdempotencyKey::mint(UnixMillis(START.0 + millis), [random; 10])
}

fn table(zones: &[u8]) -> HomeTable {
    let zones = zones.iter().enumerate();
    let members = zones.map(|(i, zone)| member(i as u8, 1, *zone)).collect();
    HomeTable::bootstrap(service(), START, members).unwrap()
}

/// Nodes of different releases must agree, so these values must never change.
fn places(random: u8, home: u8, copy: u8, witness: u8) {
    let placement = table(&[0, 1, 2, 3, 0, 1, 2, 3])
        .place(key(0, random))
        .unwrap();
    let id = |host: u8| member(host, 1, 0).id;
    assert_that!(placement.home, eq(id(home)));
    assert_that!(placement.copy, some(eq(id(copy))));
    assert_that!(placement.witness, some(eq(id(witness))));
}

cases! {
    places;
    placement_of_key_1_is_fixed: (1, 7, 5, 2);
    placement_of_key_2_is_fixed: (2, 1, 6, 4);
    placement_of_key_3_is_fixed: (3, 7, 6, 5);
}

fn has_replicas(zones: &[u8], copies: usize, witnesses: usize) {
    let table = table(zones);
    let zone_of = |id: MemberId| table.newest_active().member(id).map(|m| m.zone.clone());
    let single_zone = table.newest_active().is_single_zone();
    let placements = (0..200).map(|random| table.place(key(0, random)).unwrap());
    for placement in placements {
        let copy = placement
            .copy
            .filter(|copy| single_zone || zone_of(*copy) != zone_of(placement.home));
        assert_that!(copy.iter().count(), eq(copies));
        assert_that!(placement.witness.iter().count(), eq(witnesses));
        assert_that!(placement.witness, not(some(eq(placement.home))));
    }
}

cases! {
    has_replicas;
    copy_is_in_another_zone: (&[0, 0, 1, 2], 1, 1);
    single_zone_has_copy_and_witness: (&[0, 0, 0], 1, 1);
    two_members_have_no_witness: (&[0, 1], 1, 0);
    single_member_has_no_copy: (&[0], 0, 0);
}

#[gtest]
fn key_stays_with_the_epoch_of_its_mint_time() {
    let old = table(&[0, 1, 2]);
    let from = UnixMillis(START.0 + 1_000);
    let members = (3..6).map(|host| member(host, 1, host)).collect();
    let proposed = old.propose(from, members).unwrap();
    let new = proposed.activate(START, 100);
    expect_that!(proposed.place(key(1_000, 1)), eq(old.place(key(1_000, 1))));
    expect_that!(new.place(key(999, 1)), eq(old.place(key(999, 1))));
    expect_that!(new.place(key(1_000, 1)), not(eq(old.place(key(1_000, 1)))));
}

#[gtest]
fn epochs_of_expired_keys_are_dropped() {
    let from = UnixMillis(START.0 + 1_000);
    let proposed = table(&[0, 1]).propose(from, vec![member(1, 1, 1)]).unwrap();
    expect_that!(
        proposed
            .activate(UnixMillis(from.0 - 1), 100)
            .epochs()
            .len(),
        eq(2)
    );
    let pruned = proposed.activate(from, 100);
    expect_that!(pruned.epochs().len(), eq(1));
    expect_that!(proposed.activate(START, 2).epochs().len(), eq(1));
    expect_that!(pruned.place(key(999, 1)), none());
}

/// Members in `zones`, of which only the hosts in `stopped` have stopped.
fn closes(zones: &[u8], stopped: &[u8], expected: bool) {
    let epoch_table = table(zones);
    let is_stopped = |id: MemberId| stopped.iter().any(|host| member(*host, 1, 0).id == id);
    let closed = epoch_table.newest_active().is_closed_by(is_stopped);
    assert_that!(closed, eq(expected));
}

cases! {
    closes;
    open_while_two_zones_run: (&[0, 1, 2], &[0], false);
    closed_when_one_runs: (&[0, 1, 2], &[0, 1], true);
    closed_when_one_zone_runs: (&[0, 0, 1, 2], &[2, 3], true);
    open_while_two_run_in_a_single_zone: (&[0, 0, 0], &[0], false);
    single_member_must_stop: (&[0], &[], false);
    single_member_has_stopped: (&[0], &[0], true);
}

fn rejects(change: fn(&mut serde_json::Value), expected: &str) {
    let from = UnixMillis(START.0 + 1_000);
    let good = table(&[0, 1]).propose(from, vec![member(1, 1, 1)]).unwrap();
    let mut document = serde_json::to_value(&good).unwrap();
    let read: HomeTable = serde_json::from_value(document.clone()).unwrap();
    assert_that!(read, eq(&good));
    change(&mut document);
    let error = serde_json::from_value::<HomeTable>(document).unwrap_err();
    assert_that!(error.to_string(), starts_with(expected));
}

cases! {
    rejects;
    table_without_epochs: (|d| d["epochs"] = json!([]), "epochs: must begin");
    table_that_begins_proposed: (
        |d| d["epochs"][0]["phase"] = "proposed".into(),
        "epochs: must begin",
    );
    epochs_out_of_order: (|d| d["epochs"][1]["from"] = 0.into(), "epochs: version and from");
    epoch_newer_than_table: (|d| d["version"] = 1.into(), "epochs: version and from");
    host_listed_twice: (
        |d| d["epochs"][0]["members"][1] = d["epochs"][0]["members"][0].clone(),
        "epochs.members",
    );
    epoch_without_members: (|d| d["epochs"][1]["members"] = json!([]), "epochs.members");
    unknown_phase: (|d| d["epochs"][1]["phase"] = "done".into(), "unknown variant");
}
