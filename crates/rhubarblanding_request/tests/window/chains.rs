//! Load: a service rejects more than half of its requests for some seconds, whatever its load, and
//! each user request needs several calls of it, one after the other.

use std::time::Duration;

use googletest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_request::prelude::{BudgetSettings, BudgetState, RetryBudget, WindowBudget};

use super::{SLACK, settings};

const NODES: usize = 14;
/// Calls of one chain.
const CALLS: u32 = 4;
/// Chains begun in one step.
const CHAINS_PER_STEP: usize = 12;
const STEP: Duration = Duration::from_millis(10);
/// Steps in which the service rejects requests.
const REJECTING: std::ops::Range<u32> = 1_200..2_050;
const REJECTED_SHARE: f64 = 0.55;
/// Attempts of one call.
const ATTEMPTS: u32 = 3;
/// Reserve for each call that must still succeed, as in the mesh, and its greatest value.
const RESERVE_PERCENT: u32 = 25;
const RESERVE_MAX_PERCENT: u32 = 75;

trait Budget {
    fn first(&mut self, node: usize, now: MonoTime);
    fn take(&mut self, node: usize, now: MonoTime, calls_left: u32) -> bool;
}

fn reserve(calls_left: u32) -> u32 {
    (calls_left * RESERVE_PERCENT).min(RESERVE_MAX_PERCENT)
}

struct Windows(Vec<WindowBudget>);

impl Budget for Windows {
    fn first(&mut self, node: usize, now: MonoTime) {
        self.0[node].record_first_attempt(now);
    }

    fn take(&mut self, node: usize, now: MonoTime, calls_left: u32) -> bool {
        self.0[node].take(now, reserve(calls_left))
    }
}

/// A bucket that is refilled by first attempts, as the mesh used before.
struct Buckets(Vec<RetryBudget>);

impl Budget for Buckets {
    fn first(&mut self, node: usize, now: MonoTime) {
        self.0[node].record_first_attempt(now);
    }

    fn take(&mut self, node: usize, now: MonoTime, calls_left: u32) -> bool {
        let state = self.0[node].take_with_reserve(now, reserve(calls_left));
        state == BudgetState::Available
    }
}

/// Knows the load: spends a given number of retries only on calls with at most so many calls left; of
/// those with exactly as many, on a share.
struct AllKnowing {
    left: f64,
    calls_left: u32,
    share: f64,
    rng: ChaCha8Rng,
}

impl Budget for AllKnowing {
    fn first(&mut self, _: usize, _: MonoTime) {}

    fn take(&mut self, _: usize, _: MonoTime, calls_left: u32) -> bool {
        let wanted = calls_left < self.calls_left
            || (calls_left == self.calls_left && self.rng.random_bool(self.share));
        let taken = wanted && self.left >= 1.0;
        if taken {
            self.left -= 1.0;
        }
        taken
    }
}

#[derive(Debug, Default)]
struct Result {
    first: u64,
    retries: u64,
    completed: u64,
}

/// Plays the load; results are those of chains begun while the service rejects.
fn play(budget: &mut impl Budget) -> Result {
    let mut rng = ChaCha8Rng::seed_from_u64(4_102);
    let mut result = Result::default();
    // Calls made so far, of the chains that are under way.
    let mut chains: Vec<u32> = Vec::new();
    for step in 0..REJECTING.end {
        let now = MonoTime::ZERO + STEP * step;
        let is_rejecting = REJECTING.contains(&step);
        chains.extend(std::iter::repeat_n(0, CHAINS_PER_STEP));
        for made in std::mem::take(&mut chains) {
            let node = rng.random_range(0..NODES);
            budget.first(node, now);
            result.first += u64::from(is_rejecting);
            let mut attempts = 1;
            let succeeded = loop {
                if !is_rejecting || !rng.random_bool(REJECTED_SHARE) {
                    break true;
                }
                if attempts == ATTEMPTS || !budget.take(node, now, CALLS - made - 1) {
                    break false;
                }
                attempts += 1;
                result.retries += 1;
            };
            match succeeded {
                true if made + 1 == CALLS => result.completed += u64::from(is_rejecting),
                true => chains.push(made + 1),
                false => {}
            }
        }
    }
    result
}

fn windows() -> Result {
    let budget = || WindowBudget::new(MonoTime::ZERO, settings(NODES));
    play(&mut Windows((0..NODES).map(|_| budget()).collect()))
}

fn buckets() -> Result {
    let settings = BudgetSettings {
        retries_per_hundred: 15,
        floor_per_second: 0,
        burst: (SLACK * 0.5 / NODES as f64) as u32,
        burst_window: Duration::from_millis(100),
        overload_hold: Duration::ZERO,
    };
    let budget = || RetryBudget::new(MonoTime::ZERO, settings.clone());
    play(&mut Buckets((0..NODES).map(|_| budget()).collect()))
}

/// Completed chains of the best rule that spends at most `retries`.
fn best(retries: u64) -> u64 {
    let results = (0..CALLS).flat_map(|calls_left| {
        (0..=10).map(move |tenths| {
            let mut budget = AllKnowing {
                left: retries as f64,
                calls_left,
                share: f64::from(tenths) / 10.0,
                rng: ChaCha8Rng::seed_from_u64(4_103),
            };
            play(&mut budget).completed
        })
    });
    results.max().unwrap_or_default()
}

/// More retries are allowed than by the bucket, and they go to the calls that complete the most.
#[test]
fn retries_complete_chains_of_a_service_that_rejects() {
    let (windows, buckets) = (windows(), buckets());
    let best = best(windows.retries);
    println!("windows {windows:?}, buckets {buckets:?}, best {best}");
    assert_that!(windows.completed, gt(buckets.completed));
    assert_that!(windows.completed as f64, ge(0.9 * best as f64));
}
