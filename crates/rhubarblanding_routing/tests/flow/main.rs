//! Traffic of three zones through lost zones, killed, leaving, cold and returning targets.

mod sim;

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_routing::prelude::*;
use sim::{Condition, Sim, TARGETS, ZONES};

/// Seed of every run in this file.
const SEED: u64 = 5_006;
/// Time from a fault to 95 % of the goodput that the remaining capacity gives.
const RECOVERY: Duration = Duration::from_secs(2);
/// Time after which a leaving target gets no new work.
const LEAVING: Duration = Duration::from_secs(3);
const GOODPUT_SHARE: f64 = 0.95;

fn no_ejection() -> RouterSettings {
    RouterSettings {
        ejected_max_percent: 0,
        failing_penalty: 0.0,
        ..RouterSettings::default()
    }
}

/// Seconds from a fault at second 2 until the share of answered requests is 95 % for good.
fn recovery(
    settings: RouterSettings,
    load: f64,
    fault: Condition,
    hit: fn(usize) -> bool,
) -> Duration {
    let mut sim = Sim::new(SEED, settings, load);
    sim.run_until(2_000);
    (0..TARGETS)
        .filter(|target| hit(*target))
        .for_each(|target| sim.set(target, fault));
    sim.run_until(8_000);
    sim.time_to_share(2_000, GOODPUT_SHARE)
}

fn first_zone(target: usize) -> bool {
    target.is_multiple_of(ZONES)
}

fn every_second(target: usize) -> bool {
    target.is_multiple_of(2)
}

fn recovers(load: f64, fault: Condition, hit: fn(usize) -> bool) {
    let time = recovery(RouterSettings::default(), load, fault, hit);
    assert_that!(time, le(RECOVERY));
}

rhubarblanding_core::cases! {
    recovers;
    from_a_zone_that_goes_silent: (0.6, Condition::Silent, first_zone);
    from_a_zone_that_refuses_connections: (0.6, Condition::Refusing, first_zone);
    from_half_of_the_targets_killed: (0.45, Condition::Refusing, every_second);
    from_half_of_the_targets_silent: (0.45, Condition::Silent, every_second);
}

#[test]
fn without_ejection_a_lost_zone_is_felt_for_good() {
    let time = recovery(no_ejection(), 0.6, Condition::Refusing, first_zone);
    assert_that!(time, gt(RECOVERY));
}

#[test]
fn a_leaving_target_gets_no_work_though_no_announcement_came() {
    let mut sim = Sim::new(SEED, RouterSettings::default(), 0.3);
    sim.run_until(2_000);
    sim.set(0, Condition::Draining);
    sim.run_until(5_000);
    let sent = sim.sent(0);
    sim.run_until(8_000);
    assert_that!(sim.sent(0), eq(sent), "sent later than {LEAVING:?}");
    // Requests of the last second may be under way when the run ends.
    assert_that!(sim.share(2_000, 7_000), eq(1.0));
}

#[test]
fn a_leaving_target_is_seen_to_get_work_where_draining_is_not_skipped() {
    let settings = RouterSettings {
        draining: DrainingUse::Always,
        ..RouterSettings::default()
    };
    let mut sim = Sim::new(SEED, settings, 0.3);
    sim.run_until(2_000);
    sim.set(0, Condition::Draining);
    sim.run_until(5_000);
    let sent = sim.sent(0);
    sim.run_until(8_000);
    assert_that!(sim.sent(0), gt(sent));
}

#[test]
fn a_target_that_returns_gets_its_share_again() {
    let mut sim = Sim::new(SEED, RouterSettings::default(), 0.5);
    sim.run_until(2_000);
    sim.set(0, Condition::Silent);
    sim.run_until(5_000);
    sim.set(0, Condition::Up);
    sim.run_until(9_000);
    let before = sim.sent(0);
    let all_before = sim.sent_all();
    sim.run_until(11_000);
    let share = (sim.sent(0) - before) as f64 / (sim.sent_all() - all_before) as f64;
    assert_that!(share * TARGETS as f64, ge(0.75));
}

#[test]
fn a_cold_target_is_not_flooded() {
    let mut sim = Sim::new(SEED, RouterSettings::default(), 0.5);
    sim.withhold(0);
    sim.run_until(4_000);
    sim.announce(0);
    let all_before = sim.sent_all();
    sim.run_until(4_200);
    let share = sim.sent(0) as f64 / (sim.sent_all() - all_before) as f64;
    assert_that!(share * TARGETS as f64, lt(0.75));
    sim.run_until(8_000);
    assert_that!(sim.share(4_000, 8_000), ge(GOODPUT_SHARE));
}

#[test]
fn requests_stay_in_their_zone_while_it_has_room() {
    let mut sim = Sim::new(SEED, RouterSettings::default(), 0.5);
    sim.run_until(2_000);
    sim.forget_sent();
    sim.run_until(4_000);
    assert_that!(sim.local_share(), ge(0.95));
}

#[test]
fn a_loaded_zone_spills_over() {
    let mut sim = Sim::new(SEED, RouterSettings::default(), 0.7);
    sim.send_all_from_zone(0);
    sim.run_until(4_000);
    assert_that!(sim.share(1_000, 4_000), ge(GOODPUT_SHARE));
}
