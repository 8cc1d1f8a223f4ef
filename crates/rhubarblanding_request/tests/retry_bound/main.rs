//! Retry bound over whole call trees, under lost, duplicated and reordered answers, repeats by
//! backend servers, and missing and forged tokens.

mod model;
mod simulation;

use googletest::prelude::*;
use model::{Fault, TreeTest};
use rhubarblanding_fuzzing::fuzz;

/// Seed of every run in this file.
const SEED: u64 = 4_001;
/// Transitions per case.
const STEPS: usize = 400;
/// Allowance of a root request unless its service sets another.
const ALLOWANCE_DEFAULT: usize = 3;

#[test]
fn retries_of_a_tree_stay_within_the_allowance_of_its_root() {
    let outcome = fuzz::<TreeTest<{ Fault::NONE }>>(SEED, STEPS, true);
    assert_that!(outcome, ok(anything()));
    // The run proves the bound only if it reached the limits.
    assert_that!(simulation::REACHED.depth(), eq(simulation::DEPTH_MAX));
    assert_that!(simulation::REACHED.fan_out(), eq(simulation::FAN_OUT_MAX));
    assert_that!(simulation::REACHED.used_up(), ge(ALLOWANCE_DEFAULT));
}

fn oracle_catches<const FAULT: u8>(violated: &str) {
    let outcome = fuzz::<TreeTest<FAULT>>(SEED, STEPS, false);
    assert_that!(outcome, err(contains_substring(violated)));
}

rhubarblanding_core::cases! {
    oracle_catches::<{ Fault::LENT_NOT_DEDUCTED }>;
    oracle_catches_allowance_that_is_copied: ("retries of root");
}

rhubarblanding_core::cases! {
    oracle_catches::<{ Fault::REPEATS_NOT_CHARGED }>;
    oracle_catches_repeats_that_are_not_charged: ("retries of root");
}

rhubarblanding_core::cases! {
    oracle_catches::<{ Fault::RETRY_NOT_SPENT }>;
    oracle_catches_retries_that_are_not_spent: ("retries of root");
}

rhubarblanding_core::cases! {
    oracle_catches::<{ Fault::DUPLICATE_DISPATCHES }>;
    oracle_catches_duplicate_dispatches: ("dispatches of one call path");
}

rhubarblanding_core::cases! {
    oracle_catches::<{ Fault::SPENT_IS_RETURNED }>;
    oracle_catches_a_peer_that_returns_what_it_spent: ("retries of root");
}
