//! Number of dispatches to the last of seven chained services, the bottom, while it fails.

use std::time::Duration;

use googletest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_core::prelude::{ErrorKind, Idempotency, Importance, MonoTime, Refusal, RootId};
use rhubarblanding_request::prelude::*;

/// Seed of every run in this file.
const SEED: u64 = 4_004;
const LAYERS: usize = 7;
const ROOTS: u64 = 10_000;
const ALLOWANCE: u8 = 3;
/// Dispatches at the bottom for each root request while the bottom is overloaded.
const OVERLOADED_MAX: f64 = 1.1;

/// Failures of the bottom service, in percent of the dispatches; the rest succeeds.
#[derive(Clone, Copy, Debug)]
struct Bottom {
    overloaded: u32,
    lost: u32,
}

/// Mechanism that is switched off to show that the bound depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    BudgetOff,
    PassedUpRetried,
}

struct Chain {
    rng: SmallRng,
    fault: Fault,
    bottom: Bottom,
    nodes: Vec<AllowanceLedger>,
    budgets: Vec<RetryBudget>,
    dispatches: u64,
}

/// Failure of a call; `passed_up` is `false` if it happened at the call's own hop.
struct Failure {
    kind: ErrorKind,
    passed_up: bool,
}

impl Chain {
    fn new(fault: Fault, bottom: Bottom) -> Self {
        let ledger = || AllowanceLedger::new(AllowanceSettings::default());
        let budget = || RetryBudget::new(MonoTime::ZERO, BudgetSettings::default());
        Self {
            rng: SmallRng::seed_from_u64(SEED),
            fault,
            bottom,
            nodes: (0..LAYERS).map(|_| ledger()).collect(),
            budgets: (0..LAYERS).map(|_| budget()).collect(),
            dispatches: 0,
        }
    }

    /// Runs a request at `layer` and returns its remaining retries and its failure.
    fn serve(&mut self, now: MonoTime, layer: usize, allowance: u8) -> (u8, Option<Failure>) {
        if layer == LAYERS {
            return (allowance, self.serve_at_bottom());
        }
        let deadline = now + Duration::from_secs(1);
        let cx = RequestContext::new(
            RootId(1),
            Importance::Normal,
            deadline,
            Idempotency::Idempotent,
        );
        let key = self.nodes[layer].open(&mut self.rng, cx, allowance);
        self.budgets[layer].record_first_attempt(now);
        let failure = self.call(now, layer, key);
        (self.nodes[layer].close(now, key), failure)
    }

    fn serve_at_bottom(&mut self) -> Option<Failure> {
        self.dispatches += 1;
        let drawn = self.rng.random_range(0..100);
        let kind = if drawn < self.bottom.overloaded {
            ErrorKind::Overloaded
        } else if drawn < self.bottom.overloaded + self.bottom.lost {
            ErrorKind::ConnectionLost
        } else {
            return None;
        };
        Some(Failure {
            kind,
            passed_up: false,
        })
    }

    /// Makes the downstream call of a request, with its retries.
    fn call(&mut self, now: MonoTime, layer: usize, key: RequestKey) -> Option<Failure> {
        loop {
            let to_leaf = layer + 1 == LAYERS;
            let share = if to_leaf {
                LendShare::Nothing
            } else {
                LendShare::HalfUp
            };
            let lent = self.nodes[layer].lend_share(key, share);
            let (returned, failure) = self.serve(now, layer + 1, lent.amount());
            let failure = failure?;
            // A lost connection delivers no answer, so no retries are returned.
            let lost = failure.kind == ErrorKind::ConnectionLost && !failure.passed_up;
            self.nodes[layer].give_back(lent, if lost { 0 } else { returned });
            if !self.take_retry(now, layer, key, &failure) {
                return Some(Failure {
                    passed_up: true,
                    ..failure
                });
            }
        }
    }

    /// Takes one retry if the failure permits it, and returns `true` if it was taken.
    fn take_retry(
        &mut self,
        now: MonoTime,
        layer: usize,
        key: RequestKey,
        failure: &Failure,
    ) -> bool {
        if failure.passed_up && self.fault != Fault::PassedUpRetried {
            return false;
        }
        self.budgets[layer].record_failure(now, failure.kind);
        let budget = match self.fault {
            Fault::BudgetOff => BudgetState::Available,
            Fault::None | Fault::PassedUpRetried => self.budgets[layer].state(now),
        };
        let step = next_step(&FailedAttempt {
            idempotency: Idempotency::Idempotent,
            refusal: Refusal::new(failure.kind),
            run_state: failure.kind.answer().run_state,
            silent: false,
            allowance: self.nodes[layer].left(key),
            budget,
            remaining: Duration::from_secs(1),
            min_attempt_time: Duration::ZERO,
        });
        let NextStep::Retry(reason) = step else {
            return false;
        };
        self.budgets[layer].take(now);
        self.nodes[layer].spend(key, reason).is_ok()
    }
}

/// Dispatches at the bottom for each root request.
fn amplification(fault: Fault, bottom: Bottom) -> f64 {
    let mut chain = Chain::new(fault, bottom);
    for root in 0..ROOTS {
        chain.serve(MonoTime::from_millis(root), 0, ALLOWANCE);
    }
    let amplification = chain.dispatches as f64 / ROOTS as f64;
    println!("{fault:?}, {bottom:?}: {amplification:.3}");
    amplification
}

const OVERLOADED: Bottom = Bottom {
    overloaded: 60,
    lost: 30,
};
const LOST: Bottom = Bottom {
    overloaded: 0,
    lost: 100,
};

#[test]
fn an_overloaded_service_gets_hardly_any_retries() {
    assert_that!(amplification(Fault::None, OVERLOADED), lt(OVERLOADED_MAX));
}

#[test]
fn without_a_budget_an_overloaded_service_gets_more() {
    assert_that!(
        amplification(Fault::BudgetOff, OVERLOADED),
        ge(OVERLOADED_MAX)
    );
}

/// Amplification that the budget of one layer allows, including its burst and its floor.
fn max_with_one_budget() -> f64 {
    let settings = BudgetSettings::default();
    let secs = ROOTS as f64 / 1_000.0;
    // One root request starts each millisecond.
    let burst = settings.burst_window.as_millis() as f64;
    let burst = burst.max(f64::from(settings.burst));
    let floor = burst + f64::from(settings.floor_per_second) * secs;
    1.0 + f64::from(settings.retries_per_hundred) / 100.0 + floor / ROOTS as f64
}

#[test]
fn a_failing_service_gets_the_retries_of_one_layer() {
    assert_that!(amplification(Fault::None, LOST), le(max_with_one_budget()));
}

#[test]
fn retries_of_every_layer_multiply() {
    assert_that!(
        amplification(Fault::PassedUpRetried, LOST),
        gt(max_with_one_budget())
    );
}
