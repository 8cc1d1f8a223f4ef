//! A fleet that starts at once knows all its targets after one exchange of messages.

#![expect(clippy::expect_used, reason = "a test panics where its set-up fails")]

use std::collections::VecDeque;

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::*;

const NODES: u8 = 40;
const SERVICES: u8 = 4;
const ZONES: u8 = 3;

fn host(i: u8) -> HostId {
    HostId(([10, 0, 0, i], 7_000).into())
}

fn service(i: u8) -> ServiceName {
    ServiceName::try_from(format!("s{}", i % SERVICES)).expect("a name")
}

fn member(i: u8) -> Membership {
    let info = TargetInfo {
        host: host(i),
        incarnation: Incarnation(1),
        service: service(i),
        zone: ZoneName::try_from(format!("z{}", i % ZONES)).expect("a name"),
        slots: 10,
        state: TargetState::Serving,
    };
    let settings = MembershipSettings {
        view: ViewMode::Full,
        join_fanout: usize::from(NODES),
        ..MembershipSettings::default()
    };
    Membership::new(info, settings)
}

/// No time passes, so no timer helps.
#[test]
fn addresses_of_all_nodes_make_all_targets_known() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut members: Vec<_> = (0..NODES).map(member).collect();
    let hosts: Vec<_> = (0..NODES).map(host).collect();
    let mut messages = VecDeque::new();
    for member in &mut members {
        let outputs = member.handle(MonoTime::ZERO, &mut rng, Input::Seeds(hosts.clone()));
        messages.extend(outputs);
    }
    while let Some(output) = messages.pop_front() {
        let Output::Send { to, msg } = output else {
            continue;
        };
        let at = hosts.iter().position(|host| *host == to).expect("a node");
        messages.extend(members[at].handle(MonoTime::ZERO, &mut rng, Input::Message(*msg)));
    }
    for member in &members {
        for i in 0..SERVICES {
            let known = member.targets(&service(i)).len();
            assert_that!(known, eq(usize::from(NODES / SERVICES)));
        }
    }
}
