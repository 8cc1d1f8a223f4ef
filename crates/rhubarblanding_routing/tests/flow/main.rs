//! Traffic of three zones while targets and whole zones fail, drain, start and recover.

mod sim;

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_routing::prelude::*;
use sim::{Condition, Sim, TARGETS, ZONES};

/// Seed of every run in this file.
const SEED: u64 = 5_006;
/// Longest time from a fault until 95 % of the goodput of the remaining capacity is reached.
const RECOVERY_MAX: Duration = Duration::from_secs(2);
/// Time after which a draining target gets no new requests.
const DRAIN_TIME: Duration = Duration::from_secs(3);
const GOODPUT_SHARE: f64 = 0.95;

fn no_ejection() -> RouterSettings {
    RouterSettings {
        ejected_max_percent: 0,
        failing_penalty: 0.0,
        ..RouterSettings::default()
    }
}

/// Returns the time from a fault at second 2 until the answered share stays at or above 95 %.
fn recovery_time(
    settings: RouterSettings,
    load: f64,
    fault: Condition,
    is_affected: fn(usize) -> bool,
) -> Duration {
    let mut sim = Sim::new(SEED, settings, load);
    sim.run_until(2_000);
    (0..TARGETS)
        .filter(|target| is_affected(*target))
        .for_each(|target| sim.set_condition(target, fault));
    sim.run_until(8_000);
    sim.time_to_share(2_000, GOODPUT_SHARE)
}

fn is_in_first_zone(target: usize) -> bool {
    target.is_multiple_of(ZONES)
}

fn is_even(target: usize) -> bool {
    target.is_multiple_of(2)
}

fn recovers(load: f64, fault: Condition, is_affected: fn(usize) -> bool) {
    let time = recovery_time(RouterSettings::default(), load, fault, is_affected);
    assert_that!(time, le(RECOVERY_MAX));
}

rhubarblanding_core::cases! {
    recovers;
    from_a_zone_that_goes_silent: (0.6, Condition::Silent, is_in_first_zone);
    from_a_zone_that_refuses_connections: (0.6, Condition::Refusing, is_in_first_zone);
    from_half_of_the_targets_killed: (0.45, Condition::Refusing, is_even);
    from_half_of_the_targets_silent: (0.45, Condition::Silent, is_even);
}

#[test]
fn without_ejection_goodput_does_not_recover_from_a_lost_zone() {
    let time = recovery_time(no_ejection(), 0.6, Condition::Refusing, is_in_first_zone);
    assert_that!(time, gt(RECOVERY_MAX));
}

#[test]
fn a_draining_target_gets_no_requests_without_an_announcement() {
    let mut sim = Sim::new(SEED, RouterSettings::default(), 0.3);
    sim.run_until(2_000);
    sim.set_condition(0, Condition::Draining);
    sim.run_until(5_000);
    let sent = sim.sent(0);
    sim.run_until(8_000);
    assert_that!(sim.sent(0), eq(sent), "sent later than {DRAIN_TIME:?}");
    // Requests of the last second may be in flight when the run ends.
    assert_that!(sim.answered_share(2_000, 7_000), eq(1.0));
}

#[test]
fn a_draining_target_gets_requests_if_the_router_always_uses_draining_targets() {
    let settings = RouterSettings {
        draining: DrainingUse::Always,
        ..RouterSettings::default()
    };
    let mut sim = Sim::new(SEED, settings, 0.3);
    sim.run_until(2_000);
    sim.set_condition(0, Condition::Draining);
    sim.run_until(5_000);
    let sent = sim.sent(0);
    sim.run_until(8_000);
    assert_that!(sim.sent(0), gt(sent));
}

#[test]
fn a_recovered_target_gets_its_share_again() {
    let mut sim = Sim::new(SEED, RouterSettings::default(), 0.5);
    sim.run_until(2_000);
    sim.set_condition(0, Condition::Silent);
    sim.run_until(5_000);
    sim.set_condition(0, Condition::Up);
    sim.run_until(9_000);
    let before = sim.sent(0);
    let all_before = sim.sent_all();
    sim.run_until(11_000);
    let share = (sim.sent(0) - before) as f64 / (sim.sent_all() - all_before) as f64;
    assert_that!(share * TARGETS as f64, ge(0.75));
}

#[test]
fn a_cold_target_gets_less_than_its_share() {
    let mut sim = Sim::new(SEED, RouterSettings::default(), 0.5);
    sim.remove(0);
    sim.run_until(4_000);
    sim.announce(0);
    let all_before = sim.sent_all();
    sim.run_until(4_200);
    let share = sim.sent(0) as f64 / (sim.sent_all() - all_before) as f64;
    assert_that!(share * TARGETS as f64, lt(0.75));
    sim.run_until(8_000);
    assert_that!(sim.answered_share(4_000, 8_000), ge(GOODPUT_SHARE));
}

#[test]
fn requests_stay_in_their_zone_while_it_has_spare_capacity() {
    let mut sim = Sim::new(SEED, RouterSettings::default(), 0.5);
    sim.run_until(2_000);
    sim.reset_sent();
    sim.run_until(4_000);
    assert_that!(sim.local_share(), ge(0.95));
}

#[test]
fn a_loaded_zone_spills_over() {
    let mut sim = Sim::new(SEED, RouterSettings::default(), 0.7);
    sim.send_all_from_zone(0);
    sim.run_until(4_000);
    assert_that!(sim.answered_share(1_000, 4_000), ge(GOODPUT_SHARE));
}
