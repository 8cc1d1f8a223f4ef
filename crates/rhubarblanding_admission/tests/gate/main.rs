//! Shedding by importance: a gate under random arrivals, completions, limits and pauses.

mod harness;
mod steps;

use std::time::Duration;

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_admission::prelude::*;
use rhubarblanding_core::prelude::{HashSet, Importance, MonoTime, Priority, RootId};
use rhubarblanding_fuzzing::fuzz;
use steps::{Fault, GateTest};

/// Seed of every run in this file.
const SEED: u64 = 4_002;
/// Transitions of a case.
const STEPS: usize = 300;

#[test]
fn nothing_is_refused_for_load_while_something_less_important_is_admitted() {
    let outcome = fuzz::<GateTest<{ Fault::NONE }>>(SEED, STEPS, true);
    assert_that!(outcome, ok(anything()));
    // The run is meaningful only if every kind of refusal occurred.
    for kind in [
        "overloaded",
        "queue_timeout",
        "deadline_before_run",
        "target_draining",
    ] {
        assert_that!(harness::refusals(kind), gt(0), "{kind}");
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
    oracle_catches_a_lost_event: ("queued by the model");
}

/// Returns the retry delays that a full gate sends after an overload of `secs` seconds.
fn retry_delays_after(secs: u64) -> Vec<Duration> {
    let rng = SmallRng::seed_from_u64(SEED);
    let mut gate = Gate::new(MonoTime::ZERO, GateSettings::default(), 1, rng);
    let mut delays = Vec::new();
    for millis in 0..=secs * 1_000 {
        let now = MonoTime::from_millis(millis);
        let arrival = Arrival {
            id: millis,
            priority: Priority::new(Importance::Normal, RootId(millis)),
            deadline: now + Duration::from_secs(10),
            kind: KindId(0),
        };
        if let Decision::Refused(refusal) = gate.arrive(now, arrival) {
            delays.push(refusal.retry_after.unwrap_or_default());
        }
        gate.poll(now);
    }
    delays.split_off(delays.len() - 50)
}

#[test]
fn retry_delay_grows_with_the_overload_and_is_spread() {
    let (short, long) = (retry_delays_after(1), retry_delays_after(5));
    let mean = |delays: &[Duration]| delays.iter().sum::<Duration>() / delays.len() as u32;
    assert_that!(mean(&long), gt(mean(&short) * 4));
    let distinct: HashSet<&Duration> = long.iter().collect();
    assert_that!(distinct.len(), gt(40));
}
