//! Goodput under overload and recovery after a slow phase, against the project's goals.

mod sim;

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_admission::prelude::*;
use sim::{Disturbance, Outcome, Scenario, fixed_limit, run};

/// Seed of every run in this file.
const SEED: u64 = 5_001;
const SLOTS: u32 = 32;
/// Length of a run in seconds.
const SECS: u64 = 13;
/// Seconds of a run that are measured, after the limit has settled.
const MEASURED: (u64, u64) = (4, 12);
const ENTRY_NODES: usize = 4;
/// Maximum number of requests that reach the gate per answer, while entry nodes refuse early.
const REACHED_PER_ANSWER: f64 = 1.5;
/// Minimum share of the peak goodput under overload.
const GOODPUT_SHARE: f64 = 0.95;
/// Minimum share of the most important requests that is answered while the capacity suffices for
/// them alone.
const CRITICAL_SHARE: f64 = 0.99;
/// Maximum share of slot time spent on requests that are not answered in time, in percent.
const WASTED_PERCENT: f64 = 5.0;
/// Maximum time from the end of a disturbance until the goodput is as before.
const RECOVERY: Duration = Duration::from_secs(2);

fn scenario(gate: Option<GateSettings>, announced: u32, load: f64) -> Scenario {
    Scenario {
        seed: SEED,
        gate,
        slots: SLOTS,
        announced,
        entry_nodes: 0,
        sheds_above: None,
        load,
        secs: SECS,
        disturbance: None,
    }
}

fn gate() -> Option<GateSettings> {
    Some(GateSettings::default())
}

fn goodput(outcome: &Outcome) -> f64 {
    outcome.goodput(MEASURED.0, MEASURED.1)
}

/// Compares the goodput under overload, once the limit has settled, with the peak over this load
/// and loads up to the capacity.
fn goodput_is_kept(announced: u32, load: f64) {
    let loads = [0.9, 1.0, load];
    let runs = loads.map(|load| run(scenario(gate(), announced, load)));
    let peak = runs.iter().map(goodput).fold(0.0, f64::max);
    let [.., overloaded] = &runs;
    assert_that!(goodput(overloaded), ge(GOODPUT_SHARE * peak));
    assert_that!(
        overloaded
            .sum(MEASURED.0, MEASURED.1, |c| c.critical)
            .share(),
        ge(CRITICAL_SHARE)
    );
    assert_that!(overloaded.wasted_percent, lt(WASTED_PERCENT));
    // With a limit far above the slots, requests queue at the backend server, without priorities.
    assert_that!(overloaded.limit, le(2 * SLOTS));
}

rhubarblanding_core::cases! {
    goodput_is_kept;
    twice_the_capacity: (SLOTS, 2.0);
    four_times_the_capacity: (SLOTS, 4.0);
    ten_times_the_capacity: (SLOTS, 10.0);
    too_many_slots_announced: (4 * SLOTS, 4.0);
    too_few_slots_announced: (SLOTS / 4, 4.0);
    no_slots_announced: (0, 4.0);
}

/// Runs a scenario with a disturbance from second 4 to second 8.
fn run_disturbed(gate: Option<GateSettings>, service_factor: f64, load_factor: f64) -> Outcome {
    let disturbance = Disturbance {
        from: 4,
        to: 8,
        service_factor,
        load_factor,
        downstream: Duration::ZERO,
    };
    run(Scenario {
        disturbance: Some(disturbance),
        entry_nodes: ENTRY_NODES,
        ..scenario(gate, SLOTS, 0.8)
    })
}

fn goodput_recovers(service_factor: f64, load_factor: f64) {
    let outcome = run_disturbed(gate(), service_factor, load_factor);
    assert_that!(outcome.recovery((1, 4), 8), le(RECOVERY));
}

rhubarblanding_core::cases! {
    goodput_recovers;
    after_a_slow_phase: (5.0, 1.0);
    after_a_surge: (1.0, 5.0);
    after_both_at_once: (5.0, 5.0);
}

#[test]
fn without_a_gate_the_overload_outlasts_its_trigger() {
    for (service_factor, load_factor) in [(5.0, 1.0), (1.0, 5.0)] {
        let outcome = run_disturbed(None, service_factor, load_factor);
        assert_that!(outcome.recovery((1, 4), 8), gt(RECOVERY));
    }
}

#[test]
fn without_importance_the_most_important_requests_are_shed_too() {
    let outcome = run(scenario(Some(fixed_limit()), SLOTS, 4.0));
    assert_that!(
        outcome.sum(MEASURED.0, MEASURED.1, |c| c.critical).share(),
        lt(CRITICAL_SHARE)
    );
}

#[test]
fn goodput_is_kept_while_the_backend_server_sheds() {
    let outcome = run(Scenario {
        sheds_above: Some(SLOTS as usize / 4),
        ..scenario(gate(), 4 * SLOTS, 2.0)
    });
    let within_capacity = run(scenario(gate(), SLOTS, 1.0));
    assert_that!(
        goodput(&outcome),
        ge(GOODPUT_SHARE * goodput(&within_capacity))
    );
}

#[test]
fn entry_nodes_refuse_what_the_gate_would() {
    let offered = scenario(gate(), SLOTS, 4.0);
    let outcome = run(Scenario {
        entry_nodes: ENTRY_NODES,
        ..offered.clone()
    });
    assert_that!(
        goodput(&outcome),
        ge(GOODPUT_SHARE * goodput(&run(offered)))
    );
    assert_that!(
        outcome.sum(MEASURED.0, MEASURED.1, |c| c.critical).share(),
        ge(CRITICAL_SHARE)
    );
    assert_that!(outcome.reached_per_answer, le(REACHED_PER_ANSWER));
}

#[test]
fn the_limit_does_not_follow_a_slow_downstream_service() {
    let disturbance = Disturbance {
        from: 2,
        to: 8,
        service_factor: 1.0,
        load_factor: 1.0,
        downstream: Duration::from_millis(400),
    };
    let outcome = run(Scenario {
        disturbance: Some(disturbance),
        ..scenario(gate(), SLOTS, 0.7)
    });
    // A trial of a lower limit may be running at the end.
    let lowest = SLOTS * LimitSettings::default().lower_percent / 100;
    assert_that!(outcome.limit, ge(lowest));
}
