//! The path of one key through its home and copy.

use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_core::cases;
use rhubarblanding_core::error::{ErrorKind, Refusal};
use rhubarblanding_core::time::UnixMillis;
use rhubarblanding_once::message::Kept;
use rhubarblanding_once::prelude::*;
use rhubarblanding_once::safeguards::Safeguards;

use crate::common::pair::Pair;
use crate::common::{START, member};

fn refused(outputs: &[Output]) -> Vec<ErrorKind> {
    let kind = |output: &Output| match output {
        Output::Refuse { refusal, .. } => Some(refusal.kind),
        _ => None,
    };
    outputs.iter().filter_map(kind).collect()
}

#[gtest]
fn home_dispatches_after_the_copy_acknowledged() {
    let mut pair = Pair::new();
    let out = pair.request_at_home(1);
    expect_that!(out, elements_are![pat!(Output::Send { .. })]);
    let out = pair.exchange(out);
    expect_that!(out, elements_are![pat!(Output::Dispatch { .. })]);
}

#[gtest]
fn repeat_joins_and_both_get_the_answer() {
    let mut pair = Pair::new();
    let out = pair.request_at_home(1);
    let out = pair.exchange(out);
    expect_that!(pair.request_at_home(2), is_empty());
    let out = pair.finish_run(&out, Outcome::Answered(pair.answer()));
    let answers = out.iter().filter(|o| matches!(o, Output::Answer { .. }));
    expect_that!(answers.count(), eq(2));
    pair.exchange(out);
    expect_that!(
        pair.request_at_copy(3),
        elements_are![pat!(Output::Answer { .. })]
    );
}

#[gtest]
fn shed_key_is_free_again() {
    let mut pair = Pair::new();
    let out = pair.request_at_home(1);
    let out = pair.exchange(out);
    let out = pair.finish_run(&out, Outcome::Shed);
    expect_that!(refused(&out), eq(&vec![ErrorKind::BackendShed]));
    pair.exchange(out);
    let out = pair.request_at_home(2);
    let out = pair.exchange(out);
    expect_that!(out, elements_are![pat!(Output::Dispatch { .. })]);
}

#[gtest]
fn refused_attempt_ignores_a_late_acknowledgement() {
    let mut pair = Pair::new();
    let sent = pair.request_at_home(1);
    let out = pair.time_out();
    expect_that!(refused(&out), eq(&vec![ErrorKind::HomeUnavailable]));
    expect_that!(pair.exchange(sent), is_empty());
}

#[gtest]
fn lost_outcome_is_unknown_until_it_is_settled() {
    let mut pair = Pair::new();
    let out = pair.request_at_home(1);
    let dispatched = pair.exchange(out);
    let out = pair.finish_run(&dispatched, Outcome::Lost);
    expect_that!(refused(&out), eq(&vec![ErrorKind::OutcomeUnknown]));
    expect_that!(
        refused(&pair.request_at_home(2)),
        eq(&vec![ErrorKind::OutcomeUnknown])
    );
    expect_that!(
        refused(&pair.request_at_copy(3)),
        eq(&vec![ErrorKind::OutcomeUnknown])
    );
    pair.finish_run(&dispatched, Outcome::Answered(pair.answer()));
    expect_that!(
        pair.request_at_home(4),
        elements_are![pat!(Output::Answer { .. })]
    );
}

#[gtest]
fn unreachable_home_makes_not_run_refusals_unknown() {
    let pair = Pair::new();
    let (mut route, _) = Route::start(pair.table(), pair.key).unwrap();
    expect_that!(
        route.on_failure(ForwardFailure::NoAnswer),
        pat!(RouteStep::Forward { .. })
    );
    let shed = Refusal::new(ErrorKind::BackendShed);
    let RouteStep::Refuse(refusal) = route.on_failure(ForwardFailure::Refused(shed)) else {
        panic!("forwarded to a third member");
    };
    expect_that!(refusal.kind, eq(ErrorKind::OutcomeUnknown));
}

fn repeat_of_an_answer(max_answer_bytes: usize, max_kept_bytes: usize, kept: bool) {
    let mut pair = Pair::with_settings(LedgerSettings {
        max_answer_bytes,
        max_kept_bytes,
        ..LedgerSettings::default()
    });
    let out = pair.request_at_home(1);
    let out = pair.exchange(out);
    let out = pair.finish_run(&out, Outcome::Answered(pair.answer()));
    assert_that!(out, contains(pat!(Output::Answer { .. })));
    pair.exchange(out);
    let expected = if kept {
        vec![]
    } else {
        vec![ErrorKind::AnswerNotKept]
    };
    assert_that!(refused(&pair.request_at_home(2)), eq(&expected));
    assert_that!(refused(&pair.request_at_copy(3)), eq(&expected));
}

cases! {
    repeat_of_an_answer;
    small_answer_is_repeated: (1_000, 1_000, true);
    large_answer_is_recorded_as_run: (10, 1_000, false);
    discarded_answer_is_recorded_as_run: (1_000, 10, false);
}

/// The copy takes over a key whose attempt at the home timed out, and the home, which is not
/// notified, retries.
fn runs_after_a_late_acknowledgement(run_check: bool, expected: usize) {
    let safeguards = Safeguards {
        run_check,
        ..Safeguards::default()
    };
    let mut pair = Pair::with_settings(LedgerSettings {
        safeguards,
        ..LedgerSettings::default()
    });
    let sent = pair.request_at_home(1);
    let late = pair.deliver(pair.home, &sent);
    let released = pair.time_out();
    pair.exchange(released);
    let mut takeover = pair.request_at_copy(2);
    let home = pair.id(pair.home);
    takeover.retain(|output| !matches!(output, Output::Send { to, .. } if *to == home));
    let mut dispatched = pair.exchange_from(pair.copy, takeover);
    pair.request_at_home(3);
    dispatched.extend(pair.deliver(pair.copy, &late));
    let runs = dispatched
        .iter()
        .filter(|output| matches!(output, Output::Dispatch { .. }));
    assert_that!(runs.count(), eq(expected));
}

cases! {
    runs_after_a_late_acknowledgement;
    late_acknowledgement_of_an_earlier_attempt_is_ignored: (true, 1);
    missing_run_check_is_detected: (false, 2);
}

/// The home evicts a key that ran, and the copy, which did not receive the outcome, queries it.
#[gtest]
fn evicted_record_is_not_taken_for_a_release() {
    let mut pair = Pair::with_settings(LedgerSettings {
        retention: Duration::from_millis(500),
        ..LedgerSettings::default()
    });
    let out = pair.request_at_home(1);
    let out = pair.exchange(out);
    pair.finish_run(&out, Outcome::Answered(pair.answer()));
    pair.time_out();
    for caller in 2..4 {
        let out = pair.request_at_copy(caller);
        expect_that!(refused(&out), eq(&vec![ErrorKind::OutcomeUnknown]));
        pair.exchange_from(pair.copy, out);
    }
}

/// The copy recovers from a lost release by a query.
#[gtest]
fn lost_release_is_settled_by_a_query() {
    let mut pair = Pair::new();
    let out = pair.request_at_home(1);
    let out = pair.exchange(out);
    pair.finish_run(&out, Outcome::Shed);
    let out = pair.request_at_copy(2);
    expect_that!(refused(&out), eq(&vec![ErrorKind::OutcomeUnknown]));
    pair.exchange_from(pair.copy, out);
    let out = pair.request_at_copy(3);
    let out = pair.exchange_from(pair.copy, out);
    expect_that!(out, elements_are![pat!(Output::Dispatch { .. })]);
}

#[gtest]
fn key_with_another_request_is_refused() {
    let mut pair = Pair::new();
    let out = pair.request_at_home(1);
    pair.exchange(out);
    let out = pair.request(pair.home, 2, Role::Home, Fingerprint(2));
    expect_that!(refused(&out), eq(&vec![ErrorKind::KeyConflict]));
    let out = pair.request(pair.copy, 3, Role::Substitute, Fingerprint(2));
    expect_that!(refused(&out), eq(&vec![ErrorKind::KeyConflict]));
}

#[gtest]
fn disconnected_caller_is_not_answered() {
    let mut pair = Pair::new();
    let out = pair.request_at_home(1);
    let out = pair.exchange(out);
    pair.request_at_home(2);
    expect_that!(pair.disconnect_from_home(1), is_empty());
    let out = pair.finish_run(&out, Outcome::Answered(pair.answer()));
    let answered = out.iter().filter_map(|output| match output {
        Output::Answer { caller, .. } => Some(*caller),
        _ => None,
    });
    expect_that!(answered.collect::<Vec<_>>(), eq(&vec![CallerId(2)]));
}

#[gtest]
fn key_without_waiting_callers_is_not_dispatched() {
    let mut pair = Pair::new();
    let sent = pair.request_at_home(1);
    expect_that!(
        pair.disconnect_from_home(1),
        contains(pat!(Output::Send { .. }))
    );
    expect_that!(pair.exchange(sent), is_empty());
}

#[gtest]
fn streamed_answer_reaches_only_the_caller_that_was_dispatched() {
    let mut pair = Pair::new();
    let out = pair.request_at_home(1);
    let out = pair.exchange(out);
    pair.request_at_home(2);
    let out = pair.finish_run(&out, Outcome::Streamed);
    expect_that!(refused(&out), eq(&vec![ErrorKind::AnswerNotKept]));
    expect_that!(
        out,
        contains(pat!(Output::Refuse {
            caller: eq(&CallerId(2)),
            ..
        }))
    );
}

/// A proposal that begins some seconds ahead of the clock of a node that has begun to run a key.
fn adopts(ahead_secs: u64, expected: Adoption) {
    let mut pair = Pair::new();
    pair.request_at_home(1);
    let from = UnixMillis(START.0 + ahead_secs * 1_000);
    let table = pair.table().unwrap().propose(from, vec![member(9, 1, 9)]);
    assert_that!(pair.adopt_at_home(table.unwrap()), eq(expected));
}

cases! {
    adopts;
    proposal_near_ahead_is_adopted: (1, Adoption::Adopted);
    proposal_far_ahead_is_not_adopted: (61, Adoption::TooFar);
}

#[gtest]
fn messages_round_trip_through_serialization() {
    let mut pair = Pair::new();
    let out = pair.request_at_home(1);
    let out = pair.exchange(out);
    let out = pair.finish_run(&out, Outcome::Answered(pair.answer()));
    let msg = out.iter().find_map(|output| match output {
        Output::Send { msg, .. } => Some(msg.clone()),
        _ => None,
    });
    let text = serde_json::to_string(&msg.unwrap()).unwrap();
    let read: PeerMessage = serde_json::from_str(&text).unwrap();
    let is_complete = matches!(read, PeerMessage::Recorded {
        kept: Kept::Answer(answer), ..
    } if answer == pair.answer());
    expect_that!(is_complete, eq(true));
}
