//! Measures the time of a router's calls for one request: `pick`, `started`, `finished`, `observe`.
//!
//! Usage: `cargo run --release -p rhubarblanding_routing --example router_cost`

use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::names::InvalidName;
use rhubarblanding_core::prelude::{
    HostId, Incarnation, LoadReport, MonoTime, ServiceName, TargetInfo, TargetState, ZoneName,
};
use rhubarblanding_routing::prelude::*;

const REQUESTS: u32 = 1_000_000;

fn main() -> Result<(), InvalidName> {
    let zone = ZoneName::try_from("ros")?;
    for targets in [4, 100, 1_000] {
        let mut router = Router::new(RouterSettings::default());
        for number in 0..targets {
            let address = [10, 0, (number / 256) as u8, (number % 256) as u8];
            router.upsert(
                MonoTime::ZERO,
                TargetInfo {
                    host: HostId((address, 7_000).into()),
                    incarnation: Incarnation(1),
                    service: ServiceName::try_from("turnos")?,
                    zone: zone.clone(),
                    slots: 16,
                    state: TargetState::Serving,
                },
            );
        }
        measure(&mut router, &zone, targets);
    }
    Ok(())
}

fn measure(router: &mut Router, zone: &ZoneName, targets: u32) {
    let mut rng = SmallRng::seed_from_u64(1);
    let report = LoadReport {
        in_flight: 4,
        limit: 16,
        ..LoadReport::default()
    };
    let req = PickRequest {
        zone: Some(zone),
        kind: None,
        exclude: &[],
    };
    let start = Instant::now();
    for number in 0..REQUESTS {
        let now = MonoTime::from_micros(u64::from(number) * 100);
        let Some(id) = router.pick(now, &mut rng, req) else {
            continue;
        };
        router.started(now, id);
        router.finished(now, id, TargetOutcome::Answered);
        router.observe(now, id, report);
    }
    let per_request = start.elapsed() / REQUESTS;
    println!("router with {targets} targets: {per_request:?} per request");
}
