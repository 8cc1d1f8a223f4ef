//! Decision after a failed attempt, retry budget, ledger, digests and context.

use std::time::Duration;

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::{
    ErrorKind, Idempotency, Importance, MonoTime, Refusal, RootId, RunState,
};
use rhubarblanding_request::prelude::*;
use strum::IntoEnumIterator;

use Idempotency::{Idempotent, NonIdempotent};
use RunState::{NotRun, Ran, Unknown};

fn failed(idempotency: Idempotency, kind: ErrorKind, run_state: RunState) -> FailedAttempt {
    FailedAttempt {
        idempotency,
        refusal: Refusal::new(kind),
        run_state,
        silent: false,
        allowance: 3,
        budget: BudgetState::Available,
        remaining: Duration::from_secs(1),
        min_attempt_time: Duration::from_millis(10),
    }
}

fn give_up(kind: ErrorKind) -> NextStep {
    NextStep::GiveUp(Refusal::new(kind))
}

fn assert_next_step(failed: FailedAttempt, expected: NextStep) {
    assert_that!(next_step(&failed), eq(expected));
}

const LOST: ErrorKind = ErrorKind::ConnectionLost;
const DRAINING: ErrorKind = ErrorKind::TargetDraining;

rhubarblanding_core::cases! {
    assert_next_step;
    idempotent_after_a_lost_connection:
        (failed(Idempotent, LOST, Unknown), NextStep::Retry(RetryReason::ConnectionLost));
    idempotent_after_a_silent_connection:
        (FailedAttempt { silent: true, ..failed(Idempotent, LOST, Unknown) },
         NextStep::Retry(RetryReason::Superseded));
    non_idempotent_after_a_lost_connection: (failed(NonIdempotent, LOST, Unknown), give_up(LOST));
    non_idempotent_that_was_never_sent:
        (failed(NonIdempotent, LOST, NotRun), NextStep::Retry(RetryReason::ConnectFailed));
    non_idempotent_that_was_refused:
        (failed(NonIdempotent, DRAINING, NotRun), NextStep::Retry(RetryReason::RefusedNotRun));
    never_sent_but_no_allowance:
        (FailedAttempt { allowance: 0, ..failed(Idempotent, LOST, NotRun) },
         give_up(ErrorKind::ConnectFailed));
    overload_is_passed_on_unchanged:
        (failed(Idempotent, ErrorKind::Overloaded, NotRun), give_up(ErrorKind::Overloaded));
    upstream_overload_is_passed_on_unchanged:
        (failed(Idempotent, ErrorKind::UpstreamOverloaded, NotRun),
         give_up(ErrorKind::UpstreamOverloaded));
    no_time_for_another_attempt:
        (FailedAttempt { remaining: Duration::from_millis(10), ..failed(Idempotent, DRAINING, NotRun) },
         give_up(DRAINING));
    budget_empty:
        (FailedAttempt { budget: BudgetState::Empty, ..failed(Idempotent, DRAINING, NotRun) },
         give_up(DRAINING));
    ran_already: (failed(Idempotent, ErrorKind::AnswerNotKept, Ran), give_up(ErrorKind::AnswerNotKept));
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_never_retried() {
    for kind in ErrorKind::iter() {
        for run_state in [Unknown, Ran] {
            let step = next_step(&failed(NonIdempotent, kind, run_state));
            assert_that!(step, eq(give_up(kind)));
        }
    }
}

#[test]
fn retries_stay_a_tenth_of_first_attempts() {
    let settings = BudgetSettings::default();
    // One first attempt each millisecond.
    let burst = settings.burst.max(settings.burst_window.as_millis() as u32);
    let floor = settings.floor_per_second;
    let mut budget = RetryBudget::new(MonoTime::ZERO, settings);
    let mut taken = 0;
    for millis in 0..10_000 {
        let now = MonoTime::from_millis(millis);
        budget.record_first_attempt(now);
        taken += u32::from(budget.take(now) == BudgetState::Available);
    }
    assert_that!(taken, le(10_000 / 10 + burst + 10 * floor));
    assert_that!(taken, ge(10_000 / 10));
}

#[test]
fn no_retry_goes_to_an_overloaded_destination() {
    let mut budget = RetryBudget::new(MonoTime::ZERO, BudgetSettings::default());
    budget.record_failure(MonoTime::ZERO, ErrorKind::Overloaded);
    let during = MonoTime::from_millis(499);
    assert_that!(budget.take(during), eq(BudgetState::Overloaded));
    assert_that!(
        budget.take(MonoTime::from_millis(500)),
        eq(BudgetState::Available)
    );
}

#[test]
fn a_closed_request_neither_lends_nor_spends() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut ledger = AllowanceLedger::new(AllowanceSettings::default());
    let deadline = MonoTime::from_millis(1_000);
    let cx = RequestContext::new(RootId(1), Importance::High, deadline, Idempotent);
    let key = ledger.open(&mut rng, cx, 3);
    let token = ledger.token(key).unwrap();
    let lent = ledger.lend(key);
    assert_that!((lent.amount(), ledger.left(key)), eq((2, 1)));
    assert_that!(ledger.close(MonoTime::ZERO, key), eq(1));
    ledger.give_back(lent, 2);
    assert_that!(ledger.find(token), some(eq(key)));
    assert_that!(ledger.lend(key).amount(), eq(0));
    assert_that!(
        ledger.spend(key, RetryReason::ConnectFailed),
        err(eq(Exhausted))
    );
    ledger.forget_closed(MonoTime::from_millis(30_000));
    assert_that!(ledger.find(token), none());
}

#[test]
fn digests_keep_the_parts_apart() {
    let first = CallDigest::of("GET", "turnos", "/a", b"b");
    assert_that!(first, eq(CallDigest::of("GET", "turnos", "/a", b"b")));
    assert_that!(first, not(eq(CallDigest::of("GET", "turnos", "/ab", b""))));
}

#[test]
fn every_retry_reason_has_its_own_counter() {
    let mut counts = RetryCounts::default();
    RetryReason::iter().for_each(|reason| counts.add(reason));
    assert_that!(
        counts.iter().map(|(_, n)| n).collect::<Vec<_>>(),
        each(eq(&1))
    );
    assert_that!(
        RetryReason::ConnectFailed.counter(),
        eq("retry.connect_failed")
    );
}

#[test]
fn a_chain_keeps_the_priority_of_its_root() {
    let deadline = MonoTime::from_millis(1_000);
    let root = RequestContext::new(RootId(7), Importance::Critical, deadline, Idempotent);
    let call = root.downstream(MonoTime::from_millis(2_000), NonIdempotent);
    assert_that!(call.priority, eq(root.priority));
    assert_that!(call.importance, eq(Importance::Critical));
    assert_that!(call.deadline, eq(deadline));
}

/// Number of retries that a full bucket of ten allows if a share is reserved for others.
fn retries_with_reserve(reserve_percent: u32) -> u32 {
    let settings = BudgetSettings {
        burst: 10,
        floor_per_second: 0,
        ..BudgetSettings::default()
    };
    let mut budget = RetryBudget::new(MonoTime::ZERO, settings);
    let take = || budget.take_with_reserve(MonoTime::ZERO, reserve_percent);
    std::iter::repeat_with(take)
        .take(20)
        .filter(|state| *state == BudgetState::Available)
        .count() as u32
}

#[test]
fn a_reserve_is_left_to_retries_that_gain_more() {
    let taken: Vec<u32> = [0, 25, 50, 100].map(retries_with_reserve).into();
    // A full bucket always allows one retry.
    assert_that!(taken, elements_are![eq(&10), eq(&7), eq(&5), eq(&1)]);
}
