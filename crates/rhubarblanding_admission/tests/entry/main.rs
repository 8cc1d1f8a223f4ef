//! Refusal at the entry and throttling of callers.

mod harness;

use std::time::Duration;

use googletest::prelude::*;
use harness::{EntryTest, Fault};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_admission::prelude::*;
use rhubarblanding_core::prelude::{
    AdmissionLevel, ErrorKind, HostId, Importance, LoadReport, MonoTime, Priority, RootId,
};
use rhubarblanding_fuzzing::fuzz;

/// Seed of every run in this file.
const SEED: u64 = 4_003;
/// Transitions of a case.
const STEPS: usize = 200;
/// Time from the last report to an open gate.
const RECOVERY: Duration = Duration::from_secs(2);

#[test]
fn the_entry_refuses_only_what_no_target_takes_and_keeps_the_order() {
    let outcome = fuzz::<EntryTest<{ Fault::NONE }>>(SEED, STEPS, true);
    assert_that!(outcome, ok(anything()));
}

fn oracle_catches<const FAULT: u8>(violated: &str) {
    let outcome = fuzz::<EntryTest<FAULT>>(SEED, STEPS, false);
    assert_that!(outcome, err(contains_substring(violated)));
}

rhubarblanding_core::cases! {
    oracle_catches::<{ Fault::LOW_PROBES }>;
    oracle_catches_probes_of_any_importance: ("while something more important is refused");
}

rhubarblanding_core::cases! {
    oracle_catches::<{ Fault::REPORT_LOST }>;
    oracle_catches_a_report_that_is_not_used: ("though a target takes it");
}

fn closed_gate(now: MonoTime) -> EntryGate {
    let mut gate = EntryGate::new(EntrySettings::default());
    let report = LoadReport {
        level: AdmissionLevel::MAX,
        ..LoadReport::default()
    };
    gate.observe(now, HostId(([10, 0, 0, 1], 7_000).into()), report);
    gate
}

#[test]
fn a_gate_without_reports_opens_in_time() {
    let mut gate = closed_gate(MonoTime::ZERO);
    assert_that!(gate.level(MonoTime::ZERO), eq(AdmissionLevel::MAX));
    assert_that!(
        gate.level(MonoTime::ZERO + RECOVERY),
        eq(AdmissionLevel::OPEN)
    );
}

#[test]
fn probes_are_a_small_share() {
    let mut gate = closed_gate(MonoTime::ZERO);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let priority = Priority::new(Importance::Critical, RootId(1));
    let passed = (0..10_000)
        .filter(|_| gate.check(MonoTime::ZERO, &mut rng, priority).is_ok())
        .count();
    assert_that!(passed, all!(gt(0), lt(200)));
}

fn throttle_with_refusal() -> (CallerThrottle, SmallRng) {
    let mut throttle = CallerThrottle::new(ThrottleSettings::default());
    throttle.refused(MonoTime::ZERO, CallerId(1), Duration::from_secs(1));
    (throttle, SmallRng::seed_from_u64(SEED))
}

#[test]
fn a_caller_that_retries_early_gets_longer_delays_and_is_admitted_when_due() {
    let (mut throttle, mut rng) = throttle_with_refusal();
    let mut delays = Vec::new();
    for millis in 0..12 {
        let now = MonoTime::from_millis(millis);
        let result = throttle.check(now, &mut rng, CallerId(1), Importance::Normal);
        if let Err(refusal) = result {
            assert_that!(refusal.kind, eq(ErrorKind::CallerThrottled));
            delays.push(refusal.retry_after.unwrap_or_default());
        }
    }
    assert_that!(delays.len(), eq(9));
    assert_that!(delays[8], gt(delays[0] * 2));
    let due = MonoTime::from_millis(1_000);
    let result = throttle.check(due, &mut rng, CallerId(1), Importance::Normal);
    assert_that!(result, ok(anything()));
}

#[test]
fn important_requests_and_other_callers_are_not_throttled() {
    let (mut throttle, mut rng) = throttle_with_refusal();
    for _ in 0..20 {
        let high = throttle.check(MonoTime::ZERO, &mut rng, CallerId(1), Importance::High);
        assert_that!(high, ok(anything()));
        let other = throttle.check(MonoTime::ZERO, &mut rng, CallerId(2), Importance::Normal);
        assert_that!(other, ok(anything()));
    }
}

#[test]
fn the_table_of_callers_is_bounded() {
    let settings = ThrottleSettings::default();
    let most = settings.callers_max;
    let mut throttle = CallerThrottle::new(settings);
    for caller in 0..2 * most as u64 {
        throttle.refused(MonoTime::ZERO, CallerId(caller), Duration::from_secs(1));
    }
    assert_that!(throttle.len(), eq(most));
}
