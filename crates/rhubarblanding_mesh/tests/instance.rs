//! Which life of a target takes requests, under late, repeated and foreign reports.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_core::prelude::*;
use rhubarblanding_mesh::dialect::{
    InstanceId, InstanceLeave, InstanceLife, InstanceReport, ReportedState,
};
use rhubarblanding_mesh::process::{InstanceTracker, ReportVerdict};

fn service() -> ServiceName {
    ServiceName::try_from("turnos").expect("a name")
}

fn life(id: &str, born: u64) -> InstanceLife {
    InstanceLife {
        born: UnixMillis(born),
        id: InstanceId(id.into()),
    }
}

fn beat(id: &str, born: u64, sequence: u64, state: ReportedState) -> InstanceReport {
    InstanceReport {
        life: life(id, born),
        service: service(),
        slots: 10,
        state,
        warmup: Duration::ZERO,
        sequence,
    }
}

fn ready(id: &str, born: u64, sequence: u64) -> InstanceReport {
    beat(id, born, sequence, ReportedState::Ready)
}

fn leaving(id: &str, born: Option<u64>) -> InstanceLeave {
    InstanceLeave {
        id: InstanceId(id.into()),
        born: born.map(UnixMillis),
    }
}

/// Takes in all reports; the last one must get `expected`, after which `serving` is the life that
/// takes requests.
fn reports_end_with(
    reports: &[InstanceReport],
    expected: ReportVerdict,
    serving: Option<InstanceLife>,
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
    first_report: (&[ready("a", 5, 1)], ReportVerdict::NewInstance, Some(life("a", 5)));
    next_report: (
        &[ready("a", 5, 1), ready("a", 5, 2)], ReportVerdict::Unchanged, Some(life("a", 5))
    );
    repeated_report: (
        &[ready("a", 5, 2), ready("a", 5, 2)], ReportVerdict::Stale, Some(life("a", 5))
    );
    late_report_of_an_earlier_life: (
        &[ready("b", 9, 1), ready("a", 5, 7)], ReportVerdict::Stale, Some(life("b", 9))
    );
    same_name_born_anew: (
        &[ready("a", 5, 70), ready("a", 9, 1)], ReportVerdict::NewInstance, Some(life("a", 9))
    );
    draining_life_is_not_revived: (
        &[
            ready("a", 5, 1),
            beat("a", 5, 3, ReportedState::Draining),
            ready("a", 5, 4),
        ],
        ReportVerdict::Unchanged, None
    );
    late_ready_after_draining: (
        &[beat("a", 5, 3, ReportedState::Draining), ready("a", 5, 2)], ReportVerdict::Stale, None
    );
    new_life_after_draining: (
        &[beat("a", 5, 3, ReportedState::Draining), ready("b", 6, 1)],
        ReportVerdict::NewInstance, Some(life("b", 6))
    );
}

#[test]
fn report_of_another_service_names_no_target() {
    let mut tracker = InstanceTracker::default();
    let other = ServiceName::try_from("egresos").expect("a name");
    let verdict = tracker.report(&other, &ready("a", 5, 1));
    assert_that!(verdict, eq(ReportVerdict::OtherService));
    assert_that!(tracker.serving(), none());
}

/// Time of the messages of leaving, after the start of all lives of the tests.
const LEFT_AT: UnixMillis = UnixMillis(100);

/// After `leave`, a late report of the life of `a` must not revive it if it has left.
fn late_report_after_leaving(leave: InstanceLeave, left: InstanceLife, serving: bool) {
    let mut tracker = InstanceTracker::default();
    tracker.report(&service(), &ready("a", 5, 1));
    assert_that!(tracker.leave(LEFT_AT, &leave), eq(&left));
    tracker.report(&service(), &ready("a", 5, 2));
    assert_that!(tracker.serving().is_some(), eq(serving));
}

rhubarblanding_core::cases! {
    late_report_after_leaving;
    leaves_with_its_start: (leaving("a", Some(5)), life("a", 5), false);
    leaves_without_its_start: (leaving("a", None), life("a", 5), false);
    an_earlier_life_leaves: (leaving("a", Some(4)), life("a", 4), true);
    another_leaves: (leaving("b", None), life("b", 100), true);
}

/// The message of leaving may come to a process that was started anew and has heard nothing yet;
/// a report that was delayed comes after it.
#[test]
fn late_report_after_an_unknown_life_left() {
    let mut tracker = InstanceTracker::default();
    tracker.leave(LEFT_AT, &leaving("a", None));
    let verdict = tracker.report(&service(), &ready("a", 5, 21));
    assert_that!(verdict, eq(ReportVerdict::Departed));
    assert_that!(tracker.serving(), none());
    let verdict = tracker.report(&service(), &ready("a", 101, 1));
    assert_that!(verdict, eq(ReportVerdict::NewInstance));
}

/// A node that was started anew knows from the key-value service which lives left.
#[test]
fn life_that_left_before_the_start_is_not_revived() {
    let mut tracker = InstanceTracker::default();
    tracker.mark_departed(life("a", 5));
    let verdict = tracker.report(&service(), &ready("a", 5, 9));
    assert_that!(verdict, eq(ReportVerdict::Departed));
    assert_that!(tracker.serving(), none());
    let verdict = tracker.report(&service(), &ready("a", 6, 1));
    assert_that!(verdict, eq(ReportVerdict::NewInstance));
}
