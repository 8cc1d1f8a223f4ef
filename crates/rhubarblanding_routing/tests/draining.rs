//! Draining targets are picked only if the settings allow it, and only while the serving ones are
//! loaded or there are none.

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

/// Returns the ports of the hosts that a router picks in 40 requests, none of which finishes.
fn picked(draining: DrainingUse, targets: &[(u16, TargetState)]) -> Vec<u16> {
    let mut router = Router::new(RouterSettings {
        draining,
        ..RouterSettings::default()
    });
    for (port, state) in targets {
        // Each target was serving before.
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

/// A draining target gets no request before the serving one is loaded.
#[test]
fn draining_targets_get_nothing_while_others_have_spare_capacity() {
    let mut router = Router::new(RouterSettings {
        draining: DrainingUse::Spill,
        ..RouterSettings::default()
    });
    for (port, state) in [(1, Draining), (2, Serving)] {
        router.upsert(NOW, info(port, Serving));
        router.upsert(NOW, info(port, state));
    }
    let mut rng = SmallRng::seed_from_u64(20_261_204);
    // Both targets have finished their slow start.
    let later = NOW + Duration::from_secs(60);
    for _ in 0..5 {
        let id = router
            .pick(later, &mut rng, PickRequest::default())
            .unwrap();
        assert_that!(id.host.0.port(), eq(2));
        router.started(later, id);
    }
    // With six of eight slots occupied the draining target is the better choice.
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
    none_if_all_are_draining: (DrainingUse::Never, &[(1, Draining), (2, Draining)], &[]);
    draining_ones_if_none_is_serving:
        (DrainingUse::Spill, &[(1, Draining), (2, Draining)], &[1, 2]);
    draining_ones_if_the_serving_ones_are_loaded:
        (DrainingUse::Spill, &[(1, Draining), (2, Serving)], &[1, 2]);
    only_serving_ones: (DrainingUse::Never, &[(1, Draining), (2, Serving)], &[2]);
    neither_starting_nor_stopped_ones:
        (DrainingUse::Spill, &[(1, Stopped), (2, Starting), (3, Draining)], &[3]);
    none_after_all_have_stopped: (DrainingUse::Spill, &[(1, Stopped), (2, Stopped)], &[]);
}
