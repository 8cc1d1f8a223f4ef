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

#[test]
fn an_unknown_outcome_never_advises_a_retry_without_the_same_key() {
    for kind in all_kinds() {
        let answer = kind.answer();
        if answer.run_state != RunState::NotRun {
            assert_that!(answer.advice, not(eq(RetryAdvice::After)), "{kind}");
        }
    }
}
