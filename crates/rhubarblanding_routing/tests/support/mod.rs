//! Runner of stateful fuzzing with fixed seeds.

use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Environment variable with the number of cases.
const CASES_VARIABLE: &str = "RHUBARBLANDING_FUZZ_CASES";
/// Cases that CI runs.
const CASES_DEFAULT: u32 = 128;

/// Runs `T` on random sequences of `steps` transitions and returns what failed.
pub fn fuzz<T: StateMachineTest>(seed: u64, steps: usize, shrink: bool) -> Result<(), String> {
    let cases = std::env::var(CASES_VARIABLE)
        .ok()
        .and_then(|raw| raw.parse().ok())
        .unwrap_or(CASES_DEFAULT);
    let config = Config {
        cases,
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
