//! Selection of the serving instance of a target with late, repeated and misaddressed reports.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_core::prelude::*;
use rhubarblanding_mesh::process::{Confirmation, InstanceTracker, ReportVerdict};
use rhubarblanding_mesh::protocol::{
    Instance, InstanceId, InstanceLeave, InstanceReport, ReportedState,
};

fn service() -> ServiceName {
    ServiceName::try_from("turnos").expect("a name")
}

fn instance(id: &str, started_at: u64) -> Instance {
    Instance {
        started_at: UnixMillis(started_at),
        id: InstanceId(id.into()),
    }
}

fn report(id: &str, started_at: u64, sequence: u64, state: ReportedState) -> InstanceReport {
    InstanceReport {
        instance: instance(id, started_at),
        service: service(),
        slots: 10,
        state,
        warmup: Duration::ZERO,
        sequence,
    }
}

fn ready(id: &str, started_at: u64, sequence: u64) -> InstanceReport {
    report(id, started_at, sequence, ReportedState::Ready)
}

fn leave_message(id: &str, started_at: Option<u64>) -> InstanceLeave {
    InstanceLeave {
        id: InstanceId(id.into()),
        started_at: started_at.map(UnixMillis),
    }
}

/// Applies all reports; the last one must have the effect `expected`, after which `serving` is the
/// serving instance.
fn reports_end_with(
    reports: &[InstanceReport],
    expected: ReportVerdict,
    serving: Option<Instance>,
) {
    let mut tracker = InstanceTracker::default();
    let verdict = reports
        .iter()
        .map(|report| tracker.report(&service(), report))
        .last();
    assert_that!(verdict, some(eq(expected)));
    assert_that!(tracker.serving().cloned(), eq(&serving));
}

rhubarblanding_core::cases! {
    reports_end_with;
    first_report: (&[ready("a", 5, 1)], ReportVerdict::NewInstance, Some(instance("a", 5)));
    next_report: (
        &[ready("a", 5, 1), ready("a", 5, 2)], ReportVerdict::Unchanged, Some(instance("a", 5))
    );
    repeated_report: (
        &[ready("a", 5, 2), ready("a", 5, 2)], ReportVerdict::Stale, Some(instance("a", 5))
    );
    late_report_of_an_earlier_instance: (
        &[ready("b", 9, 1), ready("a", 5, 7)], ReportVerdict::Stale, Some(instance("b", 9))
    );
    restart_under_the_same_name: (
        &[ready("a", 5, 70), ready("a", 9, 1)], ReportVerdict::NewInstance, Some(instance("a", 9))
    );
    draining_instance_does_not_serve_again: (
        &[
            ready("a", 5, 1),
            report("a", 5, 3, ReportedState::Draining),
            ready("a", 5, 4),
        ],
        ReportVerdict::Unchanged, None
    );
    late_report_of_draining: (
        &[ready("a", 5, 3), report("a", 5, 2, ReportedState::Draining)],
        ReportVerdict::BeganDraining, None
    );
    late_ready_after_draining: (
        &[report("a", 5, 3, ReportedState::Draining), ready("a", 5, 2)], ReportVerdict::Stale, None
    );
    new_instance_after_draining: (
        &[report("a", 5, 3, ReportedState::Draining), ready("b", 6, 1)],
        ReportVerdict::NewInstance, Some(instance("b", 6))
    );
}

#[test]
fn report_of_another_service_is_ignored() {
    let mut tracker = InstanceTracker::default();
    let other = ServiceName::try_from("egresos").expect("a name");
    let verdict = tracker.report(&other, &ready("a", 5, 1));
    assert_that!(verdict, eq(ReportVerdict::OtherService));
    assert_that!(tracker.serving(), none());
}

/// Time of the leave messages, after the start of most instances in the tests.
const LEFT_AT: UnixMillis = UnixMillis(100);

/// After `leave`, a late report of instance `a` must not make it serve again if it has left.
fn late_report_after_leaving(leave: InstanceLeave, left: Instance, serving: bool) {
    let mut tracker = InstanceTracker::default();
    tracker.report(&service(), &ready("a", 5, 1));
    assert_that!(tracker.leave(LEFT_AT, &leave), eq(&left));
    tracker.report(&service(), &ready("a", 5, 2));
    assert_that!(tracker.serving().is_some(), eq(serving));
}

rhubarblanding_core::cases! {
    late_report_after_leaving;
    leaves_with_its_start_time: (leave_message("a", Some(5)), instance("a", 5), false);
    leaves_without_its_start_time: (leave_message("a", None), instance("a", 5), false);
    earlier_instance_leaves: (leave_message("a", Some(4)), instance("a", 4), true);
    another_instance_leaves: (leave_message("b", None), instance("b", 100), true);
}

/// A leave message may reach a restarted process before any report of the instance; a delayed
/// report arrives after it.
#[test]
fn late_report_after_an_unknown_instance_left() {
    let mut tracker = InstanceTracker::default();
    tracker.leave(LEFT_AT, &leave_message("a", None));
    let verdict = tracker.report(&service(), &ready("a", 5, 21));
    assert_that!(verdict, eq(ReportVerdict::Departed));
    assert_that!(tracker.serving(), none());
    let verdict = tracker.report(&service(), &ready("a", 101, 1));
    assert_that!(verdict, eq(ReportVerdict::NewInstance));
}

/// A restarted node reads the departed instances from the key-value service.
#[test]
fn instance_that_left_before_the_start_does_not_serve() {
    let mut tracker = InstanceTracker::default();
    tracker.mark_departed(instance("a", 5));
    let verdict = tracker.report(&service(), &ready("a", 5, 9));
    assert_that!(verdict, eq(ReportVerdict::Departed));
    assert_that!(tracker.serving(), none());
    let verdict = tracker.report(&service(), &ready("a", 6, 1));
    assert_that!(verdict, eq(ReportVerdict::NewInstance));
}

/// Applies reports at their times, in milliseconds, while departures are not known; the last one is
/// admitted or not.
fn is_admitted(reports: &[(u64, InstanceReport)], expected: bool) {
    let mut confirmation = Confirmation::default();
    let mut admitted = false;
    for (at, report) in reports {
        admitted = confirmation.admits(MonoTime::from_micros(at * 1_000), report);
    }
    assert_that!(admitted, eq(expected));
}

rhubarblanding_core::cases! {
    is_admitted;
    one_report_may_be_a_late_one: (&[(0, ready("a", 1, 9))], false);
    two_late_reports_arrive_together: (&[(0, ready("a", 1, 8)), (40, ready("a", 1, 9))], false);
    a_repeated_report_confirms_nothing: (&[(0, ready("a", 1, 9)), (1_500, ready("a", 1, 9))], false);
    an_instance_that_runs_reports_again: (&[(0, ready("a", 1, 8)), (1_500, ready("a", 1, 9))], true);
    a_late_report_confirms_no_other_instance: (&[(0, ready("a", 1, 8)), (1_500, ready("b", 2, 9))], false);
    draining_needs_no_confirmation: (&[(0, report("a", 1, 9, ReportedState::Draining))], true);
}

/// Once departures are known, the report that waited is applied, and later ones need no other.
#[test]
fn known_departures_end_the_confirmation() {
    let mut confirmation = Confirmation::default();
    let first = ready("a", 1, 9);
    assert_that!(confirmation.admits(MonoTime::ZERO, &first), eq(false));
    assert_that!(confirmation.finish(), some(eq(&first)));
    assert_that!(
        confirmation.admits(MonoTime::ZERO, &ready("b", 2, 1)),
        eq(true)
    );
}
