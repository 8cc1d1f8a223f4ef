//! Stateful fuzzing of submission and adoption with several operators and nodes, a key-value
//! service that loses and delays calls and returns stale data, and an oracle that checks every
//! document ever stored.
//!
//! The number of cases is set by `RHUBARBLANDING_FUZZ_CASES`. Seeds are fixed.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

mod actions;
mod defect;
mod oracle;
mod scenario;
mod store;
mod world;

use googletest::prelude::*;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use actions::Action;
use defect::Defect;
use oracle::{Tally, Violation};
use scenario::Scenario;
use world::World;

/// Default number of cases of each test.
const DEFAULT_CASES: u32 = 48;
/// Maximum number of actions in a case.
const ACTIONS_MAX: usize = 160;
/// Number of cases within which a defect must be detected.
const DEFECT_CASES: u32 = 200;

fn cases() -> u32 {
    rhubarblanding_fuzzing::cases_or(DEFAULT_CASES)
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Generator of actions; every action is allowed at any time.
struct Actions;

impl ReferenceStateMachine for Actions {
    type State = ();
    type Transition = Action;

    fn init_state() -> proptest::strategy::BoxedStrategy<()> {
        proptest::strategy::Just(()).boxed()
    }

    fn transitions(_state: &()) -> proptest::strategy::BoxedStrategy<Action> {
        actions::any_action().boxed()
    }

    fn apply(state: (), _transition: &Action) {
        state
    }
}

fn assert_no_violation(checked: std::result::Result<(), Violation>) {
    if let Err(violation) = checked {
        panic!("{violation:?}");
    }
}

macro_rules! state_machine_test {
    ($test:ident, $machine:ident, $scenario:expr) => {
        struct $machine;

        impl StateMachineTest for $machine {
            type SystemUnderTest = World;
            type Reference = Actions;

            fn init_test(_state: &()) -> World {
                World::new($scenario, Defect::None)
            }

            fn apply(mut world: World, _state: &(), action: Action) -> World {
                assert_no_violation(world.act(&action));
                world
            }

            fn teardown(mut world: World, _state: ()) {
                assert_no_violation(world.settle());
            }
        }

        #[test]
        fn $test() {
            let strategy = Actions::sequential_strategy(1..ACTIONS_MAX);
            let mut runner = runner(cases());
            let config = runner.config().clone();
            let result = runner.run(&strategy, |(state, actions, seen)| {
                $machine::test_sequential(config.clone(), state, actions, seen);
                Ok(())
            });
            assert_that!(result, ok(anything()));
        }
    };
}

state_machine_test!(tickets_converge, Fresh, Scenario::Fresh);
state_machine_test!(
    tickets_converge_with_full_history,
    Full,
    Scenario::FullHistory
);

/// Runs `DEFECT_CASES` cases with a mechanism disabled and returns their results.
fn results_of(scenario: Scenario, defect: Defect) -> Vec<std::result::Result<Tally, Violation>> {
    let strategy = proptest::collection::vec(actions::any_action(), 1..ACTIONS_MAX);
    let mut runner = runner(DEFECT_CASES);
    (0..DEFECT_CASES)
        .filter_map(|_| strategy.new_tree(&mut runner).ok())
        .map(|tree| World::new(scenario, defect).run(&tree.current()))
        .collect()
}

fn defect_is_caught(defect: Defect, expected: fn(&Violation) -> bool) {
    let scenario = match defect {
        Defect::RefuseForgotten => Scenario::FullHistory,
        _ => Scenario::Fresh,
    };
    let results = results_of(scenario, defect);
    let violations = results.iter().filter_map(|result| result.as_ref().err());
    let caught = violations.filter(|violation| expected(violation)).count();
    println!("{defect:?}: {caught} of {DEFECT_CASES} cases");
    assert_that!(caught, gt(0));
}

rhubarblanding_core::cases! {
    defect_is_caught;
    write_without_comparison: (Defect::BlindPut, |v| matches!(v, Violation::AcceptedButReplaced { .. }));
    lower_version_adopted: (Defect::AdoptLower, |v| matches!(v, Violation::NodeRegressed { .. }));
    lost_answer_taken_for_stored: (Defect::GuessStored, |v| matches!(v, Violation::AcceptedButNeverStored { .. }));
    lost_answer_taken_for_refused: (Defect::GuessRefused, |v| matches!(v, Violation::RefusedButStored { .. }));
    read_after_lost_answer_taken_for_final: (Defect::RefuseAfterReadBack, |v| matches!(v, Violation::RefusedButStored { .. }));
    new_identifier_for_each_retry: (Defect::FreshIdentifier, |v| matches!(v, Violation::RefusedButStored { .. }));
    forgotten_taken_for_refused: (Defect::RefuseForgotten, |v| matches!(v, Violation::RefusedButStored { .. } | Violation::VerdictChanged { .. }));
    submissions_not_recorded: (Defect::NoRecords, |v| matches!(v, Violation::VerdictChanged { .. }));
    newest_state_never_read: (Defect::StaleReads, |v| matches!(v, Violation::NeverSettled { .. }));
    first_document_never_replaced: (Defect::AdoptOnce, |v| matches!(v, Violation::NodeOutdated { .. }));
    number_order_not_checked: (Defect::IgnoreNumbers, |v| matches!(v, Violation::AcceptedButReplaced { .. }));
}

fn cases_reach_every_verdict(scenario: Scenario, forgotten: bool) {
    let tallies: Vec<_> = results_of(scenario, Defect::None)
        .into_iter()
        .filter_map(std::result::Result::ok)
        .collect();
    let sum = |of: fn(&Tally) -> usize| tallies.iter().map(of).sum::<usize>();
    let counts = [
        sum(|t| t.accepted),
        sum(|t| t.refused),
        sum(|t| t.forgotten),
    ];
    println!("{scenario:?}: accepted, refused, forgotten: {counts:?}");
    assert_that!(tallies, len(eq(DEFECT_CASES as usize)));
    assert_that!(counts[0], gt(0));
    assert_that!(counts[1], gt(0));
    assert_that!(counts[2] > 0, eq(forgotten));
}

rhubarblanding_core::cases! {
    cases_reach_every_verdict;
    no_defect_no_violation: (Scenario::Fresh, false);
    no_defect_no_violation_with_full_history: (Scenario::FullHistory, true);
}
