//! A target whose host turned out to belong to another service is not picked again.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_routing::prelude::*;

const NOW: MonoTime = MonoTime::ZERO;
const HOST: HostId = HostId(std::net::SocketAddr::new(
    std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST),
    7_000,
));

fn id(incarnation: u64) -> TargetId {
    TargetId {
        host: HOST,
        incarnation: Incarnation(incarnation),
    }
}

fn announce(router: &mut Router, incarnation: u64, state: TargetState) {
    let info = TargetInfo {
        host: HOST,
        incarnation: Incarnation(incarnation),
        service: ServiceName::try_from("turnos").expect("a name"),
        zone: ZoneName::try_from("ros").expect("a name"),
        slots: 8,
        state,
    };
    router.upsert(NOW, info);
}

fn pick(router: &Router) -> Option<TargetId> {
    let mut rng = SmallRng::seed_from_u64(1);
    router.pick(NOW, &mut rng, PickRequest::default())
}

/// Returns a router that uses draining targets and knows the host in incarnation 2.
fn router(state: TargetState) -> Router {
    let mut router = Router::new(RouterSettings {
        draining: DrainingUse::Spill,
        ..RouterSettings::default()
    });
    announce(&mut router, 2, state);
    router
}

fn is_not_picked(state: TargetState) {
    let mut router = router(state);
    assert_that!(pick(&router), some(eq(id(2))));
    assert_that!(router.disown(id(2)), eq(true));
    assert_that!(router.disown(id(2)), eq(false), "it is no news");
    assert_that!(pick(&router), none());
    // Late announcements are of the host as it was.
    announce(&mut router, 2, TargetState::Serving);
    announce(&mut router, 1, TargetState::Serving);
    assert_that!(pick(&router), none());
    assert_that!(router.serving_len(), eq(0));
    announce(&mut router, 3, TargetState::Serving);
    assert_that!(pick(&router), some(eq(id(3))));
}

rhubarblanding_core::cases! {
    is_not_picked;
    serving_target: (TargetState::Serving);
    draining_target: (TargetState::Draining);
}

/// The refusal of the host of before, which arrives late.
#[test]
fn later_incarnation_is_not_disowned_with_an_earlier_one() {
    let mut router = router(TargetState::Serving);
    assert_that!(router.disown(id(1)), eq(false));
    assert_that!(pick(&router), some(eq(id(2))));
}
