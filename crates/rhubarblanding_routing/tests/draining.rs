//! Targets that drain are chosen only by a router that may, and only while none serves.

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
        service: "turnos".try_into().unwrap(),
        zone: "ros".try_into().unwrap(),
        slots: 8,
        state,
    }
}

/// Ports of the hosts that a router of these targets chooses in 40 trials.
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
    let picks = (0..40).filter_map(|_| router.pick(NOW, &mut rng, PickRequest::default()));
    let mut ports: Vec<u16> = picks.map(|id| id.host.0.port()).collect();
    ports.sort_unstable();
    ports.dedup();
    ports
}

fn are_picked(draining: DrainingUse, targets: &[(u16, TargetState)], ports: &[u16]) {
    assert_that!(picked(draining, targets), eq(&ports.to_vec()));
}

use TargetState::{Draining, Serving, Starting, Stopped};

rhubarblanding_core::cases! {
    are_picked;
    none_if_all_drain: (DrainingUse::Never, &[(1, Draining), (2, Draining)], &[]);
    those_that_drain_as_a_last_resort:
        (DrainingUse::LastResort, &[(1, Draining), (2, Draining)], &[1, 2]);
    those_that_serve_before_those_that_drain:
        (DrainingUse::LastResort, &[(1, Draining), (2, Serving)], &[2]);
    neither_those_that_start_nor_those_that_are_gone:
        (DrainingUse::LastResort, &[(1, Stopped), (2, Starting), (3, Draining)], &[3]);
    none_after_all_have_gone: (DrainingUse::LastResort, &[(1, Stopped), (2, Stopped)], &[]);
}
