//! Targets that drain are chosen only by a router that may, and only while those that serve are
//! loaded or none does.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::time::Duration;

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_routing::prelude::*;

const NOW: MonoTime = MonoTime::ZERO;

fn info(port: u16, state: TargetState) -> TargetInfo {
    TargetInfo {
        host: HostId(([127, 0, 0, 1], port).into()),
        incarnation: Incarnation(1),
        service: ServiceName::try_from("turnos").expect("a name"),
        zone: ZoneName::try_from("ros").expect("a name"),
        slots: 8,
        state,
    }
}

/// Ports of the hosts that a router of these targets chooses in 40 trials, none of which ends.
fn picked(draining: DrainingUse, targets: &[(u16, TargetState)]) -> Vec<u16> {
    let mut router = Router::new(RouterSettings {
        draining,
        ..RouterSettings::default()
    });
    for (port, state) in targets {
        // Each has served before.
        router.upsert(NOW, info(*port, TargetState::Serving));
        router.upsert(NOW, info(*port, *state));
    }
    let mut rng = SmallRng::seed_from_u64(20_261_204);
    let mut ports = Vec::new();
    for _ in 0..40 {
        if let Some(id) = router.pick(NOW, &mut rng, PickRequest::default()) {
            router.started(NOW, id);
            ports.push(id.host.0.port());
        }
    }
    ports.sort_unstable();
    ports.dedup();
    ports
}

fn are_picked(draining: DrainingUse, targets: &[(u16, TargetState)], ports: &[u16]) {
    assert_that!(picked(draining, targets), eq(&ports.to_vec()));
}

/// A target that serves is loaded before one that drains gets a request.
#[test]
fn those_that_drain_get_nothing_while_others_have_room() {
    let mut router = Router::new(RouterSettings {
        draining: DrainingUse::Spill,
        ..RouterSettings::default()
    });
    for (port, state) in [(1, Draining), (2, Serving)] {
        router.upsert(NOW, info(port, Serving));
        router.upsert(NOW, info(port, state));
    }
    let mut rng = SmallRng::seed_from_u64(20_261_204);
    // Both have been there for long.
    let later = NOW + Duration::from_secs(60);
    for _ in 0..5 {
        let id = router
            .pick(later, &mut rng, PickRequest::default())
            .unwrap();
        assert_that!(id.host.0.port(), eq(2));
        router.started(later, id);
    }
    // With six of eight slots taken the other one is the better choice.
    let ports: Vec<u16> = (0..5)
        .filter_map(|_| {
            let id = router.pick(later, &mut rng, PickRequest::default())?;
            router.started(later, id);
            Some(id.host.0.port())
        })
        .collect();
    assert_that!(ports, contains(eq(&1)));
}

use TargetState::{Draining, Serving, Starting, Stopped};

rhubarblanding_core::cases! {
    are_picked;
    none_if_all_drain: (DrainingUse::Never, &[(1, Draining), (2, Draining)], &[]);
    those_that_drain_if_none_serves:
        (DrainingUse::Spill, &[(1, Draining), (2, Draining)], &[1, 2]);
    those_that_drain_if_those_that_serve_are_loaded:
        (DrainingUse::Spill, &[(1, Draining), (2, Serving)], &[1, 2]);
    only_those_that_serve: (DrainingUse::Never, &[(1, Draining), (2, Serving)], &[2]);
    neither_those_that_start_nor_those_that_are_gone:
        (DrainingUse::Spill, &[(1, Stopped), (2, Starting), (3, Draining)], &[3]);
    none_after_all_have_gone: (DrainingUse::Spill, &[(1, Stopped), (2, Stopped)], &[]);
}
