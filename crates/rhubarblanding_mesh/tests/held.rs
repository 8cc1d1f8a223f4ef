//! Departures that a node holds for others: bounds and end.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use rhubarblanding_core::prelude::*;
use rhubarblanding_mesh::process::{DepartureRecord, HeldDepartures};
use rhubarblanding_mesh::protocol::{Instance, InstanceId};

const TTL: Duration = Duration::from_secs(120);
const NOW: MonoTime = MonoTime::ZERO;

fn host(port: u16) -> HostId {
    HostId(SocketAddr::from(([127, 0, 0, 1], port)))
}

fn departed(started_at: u64) -> DepartureRecord {
    let instance = Instance {
        started_at: UnixMillis(started_at),
        id: InstanceId("a".into()),
    };
    DepartureRecord::from(&instance)
}

#[test]
fn departures_are_held_for_their_host_until_they_end() {
    let mut held = HeldDepartures::default();
    assert_that!(held.hold(NOW, TTL, host(1), departed(5)), eq(true));
    assert_that!(held.list(NOW, host(1)), eq(&vec![departed(5)]));
    assert_that!(held.list(NOW, host(2)), is_empty());
    // Asked again, it is held for longer and not twice.
    let later = NOW + TTL / 2;
    assert_that!(held.hold(later, TTL, host(1), departed(5)), eq(true));
    assert_that!(held.list(NOW + TTL, host(1)), eq(&vec![departed(5)]));
    assert_that!(held.list(later + TTL, host(1)), is_empty());
}

/// A node never says that it holds what it has no room for.
#[test]
fn departures_beyond_the_bound_are_refused() {
    let mut held = HeldDepartures::default();
    let taken = (0..100).filter(|i| held.hold(NOW, TTL, host(1), departed(*i)));
    let taken: Vec<_> = taken.map(departed).collect();
    assert_that!(taken, not(is_empty()));
    assert_that!(held.list(NOW, host(1)), eq(&taken));
    let hosts = (2..u16::MAX).filter(|port| held.hold(NOW, TTL, host(*port), departed(1)));
    let last = hosts.last().expect("a host");
    assert_that!(held.list(NOW, host(last)), eq(&vec![departed(1)]));
    assert_that!(last, lt(u16::MAX - 1));
}
