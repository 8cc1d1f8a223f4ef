//! Measures the cost of one request in the allowance ledger: opening it, lending to one call,
//! giving back and closing.
//!
//! Usage: `cargo run --release -p rhubarblanding_request --example allowance_cost`

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::{Idempotency, Importance, MonoTime, RootId};
use rhubarblanding_request::prelude::*;

const REQUESTS: u32 = 1_000_000;

fn main() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut ledger = AllowanceLedger::new(AllowanceSettings::default());
    let start = Instant::now();
    for number in 0..REQUESTS {
        let now = MonoTime::from_micros(number.into());
        let deadline = now + Duration::from_secs(1);
        let root = RootId(number.into());
        let cx = RequestContext::new(root, Importance::Normal, deadline, Idempotency::Idempotent);
        let key = ledger.open(&mut rng, cx, 3);
        ledger.begin_call(key, CallDigest(number.into()));
        let lent = ledger.lend(key);
        ledger.give_back(lent, 1);
        ledger.close(now, key);
    }
    println!("ledger: {:?} per request", start.elapsed() / REQUESTS);
}
