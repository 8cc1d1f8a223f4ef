//! Text form of the headers between nodes: round trips, and rejection of invalid text.

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_admission::slots::KindKey;
use rhubarblanding_core::prelude::*;
use rhubarblanding_mesh::request::{HopHeader, HopOutcome, HopResult, HopStatus, InvalidHop};
use strum::IntoEnumIterator;

#[test]
fn request_header_round_trips_through_text() {
    let header = HopHeader {
        service: ServiceName::try_from("turnos").expect("a name"),
        deadline: Duration::from_millis(4_999),
        objective: Duration::from_millis(1_200),
        rank: 2,
        account: AccountKey(0xacc0),
        kind: KindKey(0xfeed),
        is_call: true,
        repeated: false,
        calls_left: 3,
        host: "a;b.example:80".to_owned(),
    };
    assert_that!(HopHeader::try_from(&*header.to_string()), ok(eq(&header)));
}

#[test]
fn answer_header_round_trips_through_text() {
    let status = HopStatus {
        result: HopResult::Refused,
        refusal: Refusal::with_retry_after(ErrorKind::Overloaded, Duration::from_millis(70)),
        call_failed: true,
        load: LoadReport {
            in_flight: 1,
            queued: 2,
            limit: 3,
            draining: true,
            hold_us: 41_000,
            ..LoadReport::default()
        },
    };
    assert_that!(HopStatus::try_from(&*status.to_string()), ok(eq(status)));
}

/// A node of an earlier version does not report the time for which slots are held.
#[test]
fn answer_header_of_an_earlier_version_is_read() {
    let status = HopStatus::try_from("answered;overloaded;0;1;2;3;0;0");
    assert_that!(status.map(|status| status.load.hold_us), ok(eq(0)));
}

fn is_rejected(raw: &str) {
    assert_that!(HopHeader::try_from(raw), err(eq(&InvalidHop)));
    assert_that!(HopStatus::try_from(raw), err(eq(InvalidHop)));
}

rhubarblanding_core::cases! {
    is_rejected;
    empty: ("");
    too_few_fields: ("turnos;1;2");
    negative_time: ("turnos;-1;2;0;0;h");
    invalid_hold_time: ("answered;overloaded;0;1;2;3;0;0;-4");
    unknown_result: ("perhaps;overloaded;0;0;0;0;0");
}

/// Statuses that say that a request did not run, and those that say nothing.
const NOT_RUN: [u16; 2] = [503, 504];
const UNKNOWN: [u16; 3] = [500, 502, 504];

/// What another node says of a request becomes the client's answer: it never blames the request, and
/// says that it did not run exactly where that follows from the result.
#[test]
fn no_word_of_another_node_blames_the_request() {
    for kind in ErrorKind::iter() {
        let refusal = Refusal::with_retry_after(kind, Duration::from_millis(70));
        for outcome in [HopOutcome::Refused(refusal), HopOutcome::Shed(refusal)] {
            let (HopOutcome::Refused(told) | HopOutcome::Shed(told)) = outcome.for_client() else {
                panic!("another outcome for {kind}");
            };
            let answer = told.kind.answer();
            assert_that!(NOT_RUN.contains(&answer.status), eq(true), "{kind}");
            assert_that!(answer.run_state, eq(RunState::NotRun), "{kind}");
            assert_that!(told.retry_after, eq(refusal.retry_after), "{kind}");
        }
        let HopOutcome::Lost(told) = HopOutcome::Lost(kind).for_client() else {
            panic!("another outcome for {kind}");
        };
        assert_that!(UNKNOWN.contains(&told.answer().status), eq(true), "{kind}");
        assert_that!(told.answer().run_state, eq(RunState::Unknown), "{kind}");
    }
}

/// A node of a later version names a kind of error that this one does not know.
#[test]
fn unknown_kind_of_error_keeps_its_result() {
    let read = |raw: &str| HopStatus::try_from(raw).map(|status| (status.result, status.refusal));
    let refused = Refusal::with_retry_after(ErrorKind::RefusedByNode, Duration::from_millis(70));
    let tail = "later_kind;70;0;0;0;0;0;0";
    assert_that!(
        read(&format!("refused;{tail}")),
        ok(eq((HopResult::Refused, refused)))
    );
    assert_that!(
        read(&format!("shed;{tail}")),
        ok(eq((HopResult::Shed, refused)))
    );
    assert_that!(
        read(&format!("lost;{tail}")).map(|(_, refusal)| refusal.kind),
        ok(eq(ErrorKind::ConnectionLost))
    );
}
