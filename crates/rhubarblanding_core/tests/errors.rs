//! Counters and retry advice of the error kinds.

use googletest::prelude::*;
use rhubarblanding_core::prelude::*;
use strum_iter::all_kinds;

mod strum_iter {
    use rhubarblanding_core::prelude::ErrorKind;
    use strum::IntoEnumIterator;

    pub fn all_kinds() -> Vec<ErrorKind> {
        ErrorKind::iter().collect()
    }
}

#[test]
fn counters_are_distinct() {
    let names: HashSet<&str> = all_kinds().iter().map(|k| k.answer().counter).collect();
    assert_that!(names.len(), eq(all_kinds().len()));
}

/// A caller does not come back after a status of 400 or more below 500, so no other node's word may
/// lead to one; those of idempotency keys are the home node's to say.
#[test]
fn no_refusal_of_another_node_blames_the_request() {
    let of_keys = [
        ErrorKind::KeyFromFuture,
        ErrorKind::KeyConflict,
        ErrorKind::KeyInProgress,
        ErrorKind::OutcomeUnknown,
        ErrorKind::AnswerNotKept,
    ];
    for kind in all_kinds() {
        let told = Refusal::new(kind).from_other_node().kind;
        let status = told.answer().status;
        let is_blamed = (400..500).contains(&status) || status == 505;
        assert_that!(is_blamed && !of_keys.contains(&kind), eq(false), "{kind}");
        assert_that!(told.answer().decider, eq(Decider::AnyNode), "{kind}");
        if kind.answer().run_state == RunState::NotRun {
            assert_that!(told.answer().run_state, eq(RunState::NotRun), "{kind}");
        }
    }
}

#[test]
fn an_unknown_outcome_never_advises_a_retry_without_the_same_key() {
    for kind in all_kinds() {
        let answer = kind.answer();
        if answer.run_state != RunState::NotRun {
            assert_that!(answer.advice, not(eq(RetryAdvice::After)), "{kind}");
        }
    }
}
