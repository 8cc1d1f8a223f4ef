//! Runner of stateful fuzzing with fixed seeds, for tests.

use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Environment variable with the number of cases.
const CASES_VARIABLE: &str = "RHUBARBLANDING_FUZZ_CASES";
/// Cases that CI runs.
const CASES_DEFAULT: u32 = 128;

/// Number of cases that the environment asks for, `default` if it asks for none.
pub fn cases_or(default: u32) -> u32 {
    std::env::var(CASES_VARIABLE)
        .ok()
        .and_then(|raw| raw.parse().ok())
        .unwrap_or(default)
}

/// Runs `T` on random sequences of fewer than `steps` transitions.
///
/// # Errors
///
/// What failed, shrunk if `shrink` is set.
pub fn fuzz<T: StateMachineTest>(seed: u64, steps: usize, shrink: bool) -> Result<(), String> {
    let config = Config {
        cases: cases_or(CASES_DEFAULT),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: if shrink { 2_000 } else { 16 },
        ..Config::default()
    };
    let strategy = T::Reference::sequential_strategy(1..steps);
    TestRunner::new(config.clone())
        .run(&strategy, |(initial, transitions, seen)| {
            T::test_sequential(config.clone(), initial, transitions, seen);
            Ok(())
        })
        .map_err(|e| e.to_string())
}
