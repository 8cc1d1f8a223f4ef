//! Shedding by importance: a gate under random arrivals, ends, limits and pauses.

mod model;
#[path = "../support/mod.rs"]
mod support;
mod world;

use googletest::prelude::*;
use model::{Fault, GateTest};
use support::fuzz;

/// Seed of every run in this file.
const SEED: u64 = 4_002;
/// Transitions of a case.
const STEPS: usize = 300;

#[test]
fn nothing_is_refused_for_load_while_something_less_important_is_admitted() {
    let outcome = fuzz::<GateTest<{ Fault::NONE }>>(SEED, STEPS, true);
    assert_that!(outcome, ok(anything()));
    // The run says something only if it came to the corners.
    for kind in [
        "overloaded",
        "queue_timeout",
        "deadline_before_run",
        "target_draining",
    ] {
        assert_that!(world::refusals(kind), gt(0), "{kind}");
    }
}

fn oracle_catches<const FAULT: u8>(violated: &str) {
    let outcome = fuzz::<GateTest<FAULT>>(SEED, STEPS, false);
    assert_that!(outcome, err(contains_substring(violated)));
}

rhubarblanding_core::cases! {
    oracle_catches::<{ Fault::NO_EVICTION }>;
    oracle_catches_a_queue_that_keeps_less_important_requests: ("less important is queued");
}

rhubarblanding_core::cases! {
    oracle_catches::<{ Fault::NO_ORDER }>;
    oracle_catches_a_queue_without_order: ("more important is queued");
}

rhubarblanding_core::cases! {
    oracle_catches::<{ Fault::LOST_EVENT }>;
    oracle_catches_a_verdict_that_is_lost: ("queued by the model");
}
