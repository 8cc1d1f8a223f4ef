//! Bound of retries in windows of time, over many nodes, and what the retries are spent on.

mod chains;

use std::time::Duration;

use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_request::prelude::{WindowBudget, WindowSettings};

/// Window of the bound.
const WINDOW: Duration = Duration::from_secs(10);
/// Retries that all nodes may make for each first attempt in a window.
const RATIO: f64 = 0.2;
/// Retries that all nodes may make beyond that.
const SLACK: f64 = 48.0;
/// Share of the bound that nodes use.
const SHARE: f64 = 0.8;
/// Step of a simulation.
const STEP: Duration = Duration::from_millis(10);

fn settings(nodes: usize) -> WindowSettings {
    WindowSettings {
        window: WINDOW,
        ratio: RATIO * SHARE,
        slack: SLACK * 0.5 / nodes as f64,
        burst_ratio: 0.5,
    }
}

/// First attempts and retries of all nodes, by step.
#[derive(Default)]
struct Ledger {
    first: Vec<u64>,
    retries: Vec<u64>,
}

impl Ledger {
    fn sum(counts: &[u64], end: usize, len: usize) -> u64 {
        let begin = end.saturating_sub(len);
        counts[begin..end.min(counts.len())].iter().sum()
    }

    /// Greatest share of the bound that any window uses.
    fn use_of_bound(&self) -> f64 {
        let window = (WINDOW.as_millis() / STEP.as_millis()) as usize;
        let ends = 1..=self.first.len();
        let shares = ends.map(|end| {
            let retries = Self::sum(&self.retries, end, window);
            let before = |age: usize| Self::sum(&self.first, end.saturating_sub(age), window);
            let first = before(0).max(before(window / 2)).max(before(window));
            retries as f64 / (RATIO * first as f64 + SLACK)
        });
        shares.fold(0.0, f64::max)
    }
}

/// First attempts per step of a node at a time.
type Load = fn(node: usize, second: f64) -> f64;

fn steady(_: usize, _: f64) -> f64 {
    2.0
}

fn surge(_: usize, second: f64) -> f64 {
    match second as u64 {
        12..16 => 8.0,
        _ => 1.0,
    }
}

fn collapse(_: usize, second: f64) -> f64 {
    if second < 20.0 { 4.0 } else { 0.2 }
}

/// All load moves from one half of the nodes to the other and back.
fn moving(node: usize, second: f64) -> f64 {
    let half = (second / 7.0) as usize % 2;
    if node % 2 == half { 4.0 } else { 0.05 }
}

fn sparse(_: usize, _: f64) -> f64 {
    0.01
}

/// All requests fail from some moment on, and nodes restart now and then: no window has more
/// retries than the bound allows over all nodes.
fn bound_holds(load: Load, nodes: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(4_101);
    let mut budgets: Vec<WindowBudget> = (0..nodes)
        .map(|_| WindowBudget::new(MonoTime::ZERO, settings(nodes)))
        .collect();
    let mut ledger = Ledger::default();
    for step in 0..4_500u32 {
        let now = MonoTime::ZERO + STEP * step;
        let second = (STEP * step).as_secs_f64();
        let (mut first, mut retries) = (0, 0);
        for (node, budget) in budgets.iter_mut().enumerate() {
            if rng.random_bool(0.000_2) {
                *budget = WindowBudget::new(now, settings(nodes));
            }
            let rate = load(node, second);
            let count = rate as u64 + u64::from(rng.random_bool(rate.fract()));
            for _ in 0..count {
                budget.record_first_attempt(now);
                first += 1;
                let mut attempts = 0;
                while second > 8.0 && attempts < 2 && budget.take(now, 0) {
                    attempts += 1;
                }
                retries += attempts;
            }
        }
        ledger.first.push(first);
        ledger.retries.push(retries);
    }
    let used = ledger.use_of_bound();
    println!("share of the bound used {used:.3}");
    assert_that!(used, le(1.0));
    // Bounds that are never approached would hold without a budget as well.
    assert_that!(used, gt(0.1));
}

rhubarblanding_core::cases! {
    bound_holds;
    bound_holds_under_steady_load: (steady, 14);
    bound_holds_in_a_surge: (surge, 14);
    bound_holds_after_a_collapse: (collapse, 14);
    bound_holds_while_load_moves: (moving, 14);
    bound_holds_over_many_nodes: (steady, 95);
    bound_holds_over_many_nodes_with_few_requests: (sparse, 95);
}

/// A burst of failures gets at once what a window allows, at most half of its first attempts more.
#[test]
fn a_short_failure_is_retried_whole() {
    let mut budget = WindowBudget::new(MonoTime::ZERO, settings(14));
    for step in 0..1_000u32 {
        for _ in 0..2 {
            budget.record_first_attempt(MonoTime::ZERO + STEP * step);
        }
    }
    let now = MonoTime::ZERO + STEP * 1_000;
    let taken = (0..500).filter(|_| budget.take(now, 0)).count();
    // Half of the first attempts of the latest second.
    assert_that!(taken, all![ge(80), le(105)]);
}
