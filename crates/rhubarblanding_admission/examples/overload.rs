//! Measures goodput under overload and recovery after a slow phase for one backend server.
//!
//! Usage: `cargo run --release -p rhubarblanding_admission --example overload -- [seed]`

#[path = "../tests/overload/sim/mod.rs"]
mod sim;

use rhubarblanding_admission::limit::LimitPolicy;
use rhubarblanding_admission::prelude::*;
use sim::{Disturbance, Outcome, Scenario, fixed_limit, run};

const SLOTS: u32 = 64;
const LOADS: [f64; 6] = [0.5, 0.9, 1.0, 2.0, 4.0, 10.0];

fn gate(policy: LimitPolicy, age_policy: AgePolicy) -> Option<GateSettings> {
    let mut settings = GateSettings {
        age_policy,
        ..GateSettings::default()
    };
    settings.limit.policy = policy;
    Some(settings)
}

fn scenario(seed: u64, control: &Option<GateSettings>, announced: u32, load: f64) -> Scenario {
    Scenario {
        seed,
        gate: control.clone(),
        slots: SLOTS,
        announced,
        entry_nodes: 0,
        sheds_above: None,
        load,
        secs: 15,
        disturbance: None,
    }
}

fn goodput_row(seed: u64, name: &str, control: &Option<GateSettings>, announced: u32) {
    let outcomes = LOADS.map(|load| run(scenario(seed, control, announced, load)));
    let peak = outcomes
        .iter()
        .map(|outcome| outcome.goodput(4, 14))
        .fold(0.0, f64::max);
    print!("{name:<34}");
    for outcome in &outcomes {
        print!(" {:>6.1}", 100.0 * outcome.goodput(4, 14) / peak);
    }
    let [.., last] = &outcomes;
    println!(
        "   peak {peak:>6.0}/s  top {:>5.1} %  wasted {:>4.1} %  reached {:>4.1}  limit {}",
        100.0 * last.sum(4, 14, |c| c.critical).share(),
        last.wasted_percent,
        last.reached_per_answer,
        last.limit
    );
}

fn recovery(seed: u64, control: &Option<GateSettings>, announced: u32, load: f64) -> Outcome {
    let disturbance = Disturbance {
        from: 10,
        to: 20,
        service_factor: 5.0,
        load_factor: 1.0,
        downstream: std::time::Duration::ZERO,
    };
    run(Scenario {
        secs: 30,
        disturbance: Some(disturbance),
        ..scenario(seed, control, announced, load)
    })
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|raw| raw.parse().ok())
        .unwrap_or(1);
    let fifo = AgePolicy::Fifo;
    let controls = [
        ("no gate", None),
        ("fixed limit", Some(fixed_limit())),
        ("gate", gate(LimitPolicy::Trial, fifo)),
        (
            "gate, adaptive LIFO",
            gate(LimitPolicy::Trial, AgePolicy::AdaptiveLifo),
        ),
        (
            "gate, additive increase",
            gate(LimitPolicy::AdditiveIncrease, fifo),
        ),
        ("gate, gradient", gate(LimitPolicy::Gradient, fifo)),
        ("gate, announced slots", gate(LimitPolicy::Fixed, fifo)),
    ];
    for (label, announced) in [
        ("true", SLOTS),
        ("four times", SLOTS * 4),
        ("a quarter", SLOTS / 4),
    ] {
        println!("announced slots: {label}; goodput in percent of the peak at loads {LOADS:?}");
        for (name, control) in &controls {
            goodput_row(seed, name, control, announced);
        }
    }
    println!("recovery after 10 s at a fifth of the speed");
    for (name, control) in &controls {
        for load in [0.7, 0.9] {
            let outcome = recovery(seed, control, SLOTS, load);
            println!(
                "{name:<34} load {load}  goodput before {:>6.0}/s  during {:>6.0}/s  recovery {:?}",
                outcome.goodput(5, 10),
                outcome.goodput(12, 20),
                outcome.recovery((5, 10), 20)
            );
        }
    }
}
