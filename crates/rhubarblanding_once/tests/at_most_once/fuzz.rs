//! Stateful fuzzing of many nodes against the oracle, from a fixed seed.

use std::cell::RefCell;

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestCaseError, TestError, TestRng, TestRunner};
use proptest_state_machine::ReferenceStateMachine;
use rhubarblanding_core::cases;
use rhubarblanding_once::safeguards::Safeguards;

use crate::sim::operations::{
    Reference, Workload, benign_ops, faulty_ops, planned_change_ops, setup, table_change_ops,
};
use crate::sim::{Cluster, Op, Setup, Tally};

/// Default number of cases of each run; the environment can override it.
const CASES: u32 = 200;
/// Operations of one case.
const STEPS: usize = 120;

fn cases() -> u32 {
    rhubarblanding_fuzzing::cases_or(CASES)
}

/// Runner with the fixed seed of [`TestRng::deterministic_rng`].
fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    TestRunner::new_with_rng(config, rng)
}

fn run(setup: &Setup, ops: Vec<Op>) -> Cluster {
    let mut cluster = Cluster::new(setup.clone());
    for op in ops {
        cluster.apply(op);
        if cluster.oracle.violation.is_some() {
            break;
        }
    }
    cluster
}

/// Runs drawn cases and returns the tally of answers, or the violation.
fn fuzz<F: Workload>(cases: u32) -> std::result::Result<Tally, String> {
    fuzz_and::<F>(cases, |_| Ok(()))
}

/// Runs drawn cases, each of which ends with a further check.
fn fuzz_and<F: Workload>(
    cases: u32,
    check: fn(&mut Cluster) -> std::result::Result<(), String>,
) -> std::result::Result<Tally, String> {
    let tally = RefCell::new(Tally::default());
    let strategy = Reference::<F>::sequential_strategy(STEPS..=STEPS);
    let result = runner(cases).run(&strategy, |(setup, ops, _)| {
        let mut cluster = run(&setup, ops);
        check(&mut cluster).map_err(TestCaseError::fail)?;
        tally.borrow_mut().add(&cluster.oracle.tally);
        match cluster.oracle.violation {
            Some(violation) => Err(TestCaseError::fail(violation)),
            None => Ok(()),
        }
    });
    match result {
        Ok(()) => Ok(tally.into_inner()),
        Err(TestError::Fail(reason, (setup, ops, _))) => {
            let cases = tally.into_inner().cases;
            Err(format!("case {cases}: {reason}\n{setup:?}\n{ops:#?}"))
        }
        Err(TestError::Abort(reason)) => Err(reason.to_string()),
    }
}

struct AnyFault;

impl Workload for AnyFault {
    fn ops() -> BoxedStrategy<Op> {
        faulty_ops()
    }

    fn setup() -> BoxedStrategy<Setup> {
        setup(Safeguards::default(), true)
    }
}

struct TableChange;

impl Workload for TableChange {
    fn ops() -> BoxedStrategy<Op> {
        table_change_ops()
    }

    fn setup() -> BoxedStrategy<Setup> {
        setup(Safeguards::default(), false)
    }
}

struct NoFault;

impl Workload for NoFault {
    fn ops() -> BoxedStrategy<Op> {
        benign_ops()
    }

    fn setup() -> BoxedStrategy<Setup> {
        setup(Safeguards::default(), false)
    }
}

fn holds(fuzz: fn(u32) -> std::result::Result<Tally, String>) {
    match fuzz(cases()) {
        Ok(tally) => println!("{tally:?}, unknown share {:.3}", tally.unknown_share()),
        Err(failure) => panic!("{failure}"),
    }
}

cases! {
    holds;
    each_key_runs_at_most_once_under_any_fault: (fuzz::<AnyFault>);
    each_key_runs_at_most_once_while_the_table_changes: (fuzz::<TableChange>);
}

#[gtest]
fn without_faults_nothing_is_refused() {
    let tally = fuzz::<NoFault>(cases()).unwrap();
    println!("no fault: {tally:?}");
    expect_that!(tally.refused.len(), eq(0));
    expect_that!(tally.store_calls, eq(tally.cases));
}

struct PlannedChange;

impl Workload for PlannedChange {
    fn ops() -> BoxedStrategy<Op> {
        planned_change_ops()
    }

    fn setup() -> BoxedStrategy<Setup> {
        setup(Safeguards::default(), false)
    }
}

#[gtest]
fn planned_changes_refuse_nothing() {
    let tally = fuzz::<PlannedChange>(cases()).unwrap();
    println!("planned change: {tally:?}");
    expect_that!(tally.refused.len(), eq(0));
    expect_that!(tally.epochs_activated, gt(0));
}

/// New keys of one check after the faults are over.
const NEW_KEYS: usize = 5;

fn check_recovery(cluster: &mut Cluster) -> std::result::Result<(), String> {
    cluster.recover();
    if !cluster.is_settled() {
        return Err(format!("the table did not settle: {:?}", cluster.document));
    }
    let before = cluster.oracle.tally.clone();
    cluster.keys.clear();
    let alive = cluster.alive();
    for i in 0..NEW_KEYS {
        let entry = alive[i % alive.len()];
        cluster.apply(Op::Request {
            clock_off: 0,
            entry,
        });
        cluster.apply(Op::DeliverAndAdvance(1));
    }
    let answered = cluster.oracle.tally.answered - before.answered;
    if answered != NEW_KEYS as u64 {
        return Err(format!("only {answered} new keys were answered"));
    }
    Ok(())
}

#[gtest]
fn after_the_faults_the_table_settles_and_new_keys_run() {
    if let Err(failure) = fuzz_and::<TableChange>(cases() / 4, check_recovery) {
        panic!("{failure}");
    }
}

/// Declares a workload with one mechanism disabled.
macro_rules! without {
    ($($name:ident: $field:ident, $ops:path;)+) => {
        $(
            struct $name;

            impl Workload for $name {
                fn ops() -> BoxedStrategy<Op> {
                    $ops()
                }

                fn setup() -> BoxedStrategy<Setup> {
                    let safeguards = Safeguards { $field: false, ..Safeguards::default() };
                    setup(safeguards, true)
                }
            }
        )+
    };
}

without! {
    WithoutCopyAck: copy_ack, faulty_ops;
    WithoutArbiter: arbiter, faulty_ops;
    WithoutWitness: witness, table_change_ops;
    WithoutHorizon: horizon, faulty_ops;
    WithoutIncarnationCheck: incarnation_check, faulty_ops;
}

/// Cases within which a missing mechanism must be detected.
const DETECTION_CASES: u32 = 2_000;

fn detects_violation(fuzz: fn(u32) -> std::result::Result<Tally, String>) {
    let failure = fuzz(DETECTION_CASES).unwrap_err();
    println!("{}", failure.lines().next().unwrap_or_default());
}

cases! {
    detects_violation;
    missing_copy_acknowledgement_is_detected: (fuzz::<WithoutCopyAck>);
    missing_arbiter_is_detected: (fuzz::<WithoutArbiter>);
    missing_witness_is_detected: (fuzz::<WithoutWitness>);
    missing_horizon_is_detected: (fuzz::<WithoutHorizon>);
    missing_incarnation_check_is_detected: (fuzz::<WithoutIncarnationCheck>);
}
