//! Target selection under random announcements, outcomes, drains and lost zones.

mod model;
mod world;

use googletest::prelude::*;
use model::{Fault, RouterTest};
use rhubarblanding_fuzzing::fuzz;

/// Seed of every run in this file.
const SEED: u64 = 4_006;
/// Transitions of a case.
const STEPS: usize = 300;

#[test]
fn only_serving_targets_are_picked_and_few_are_ejected() {
    let outcome = fuzz::<RouterTest<{ Fault::NONE }>>(SEED, STEPS, true);
    assert_that!(outcome, ok(anything()));
    // The run is conclusive only if it covered these cases.
    for case in ["picked", "none serving", "ejected", "draining", "disowned"] {
        assert_that!(world::covered(case), gt(0), "{case}");
    }
}

fn oracle_catches<const FAULT: u8>(violated: &str) {
    let outcome = fuzz::<RouterTest<FAULT>>(SEED, STEPS, false);
    assert_that!(outcome, err(contains_substring(violated)));
}

rhubarblanding_core::cases! {
    oracle_catches::<{ Fault::DRAINING_PICKED }>;
    oracle_catches_a_router_that_picks_draining_targets: ("which does not serve");
}

rhubarblanding_core::cases! {
    oracle_catches::<{ Fault::ALL_EJECTED }>;
    oracle_catches_ejection_without_a_cap: ("are ejected");
}
