//! Measures the time per request at a gate: `arrive`, `finished` and the polls between, at twice
//! the capacity and with a full queue.
//!
//! Usage: `cargo run --release -p rhubarblanding_admission --example gate_cost`

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_admission::prelude::*;
use rhubarblanding_core::prelude::{Importance, MonoTime, Priority, RootId};

const REQUESTS: u32 = 1_000_000;
const SLOTS: u32 = 170;
const IMPORTANCES: [Importance; 4] = [
    Importance::Background,
    Importance::Normal,
    Importance::High,
    Importance::Critical,
];

fn main() {
    let mut rng = SmallRng::seed_from_u64(1);
    let gate_rng = SmallRng::seed_from_u64(2);
    let mut gate = Gate::new(MonoTime::ZERO, GateSettings::default(), SLOTS, gate_rng);
    let mut running = Vec::new();
    let start = Instant::now();
    for number in 0..REQUESTS {
        let now = MonoTime::from_micros(u64::from(number) * 60);
        let importance = IMPORTANCES[rng.random_range(0..IMPORTANCES.len())];
        let arrival = Arrival {
            id: number.into(),
            priority: Priority::new(importance, RootId(rng.random())),
            deadline: now + Duration::from_secs(1),
            kind: KindId(0),
        };
        if gate.arrive(now, arrival) == Decision::Admitted {
            running.push(arrival.id);
        }
        if number.is_multiple_of(2) && !running.is_empty() {
            let id = running.swap_remove(rng.random_range(0..running.len()));
            let finish = Finish {
                latency: Duration::from_millis(20),
                downstream: Duration::ZERO,
                result: FinishResult::Completed,
            };
            gate.finished(now, id, finish);
        }
        let admitted = gate.poll(now).into_iter().filter_map(|event| match event {
            GateEvent::Admitted(id) => Some(id),
            GateEvent::Refused(..) => None,
        });
        running.extend(admitted);
    }
    println!("gate: {:?} per request", start.elapsed() / REQUESTS);
}
