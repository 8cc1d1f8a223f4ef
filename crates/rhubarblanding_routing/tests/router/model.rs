//! Randomly generated transitions.

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rhubarblanding_core::prelude::TargetState;
use rhubarblanding_routing::prelude::TargetOutcome;

use crate::world::World;

/// Mechanism that is disabled to check that the oracle fails.
pub struct Fault;

impl Fault {
    pub const NONE: u8 = 0;
    pub const DRAINING_PICKED: u8 = 1;
    pub const ALL_EJECTED: u8 = 2;
}

/// Transition of the test. An index is taken modulo the number of elements it selects from.
#[derive(Clone, Debug)]
pub enum Step {
    /// The target's node announces it in this state.
    Announce {
        host: u8,
        state: TargetState,
    },
    /// The announcement of an earlier instance arrives late.
    AnnounceLate {
        host: u8,
    },
    /// The host is replaced: a new instance starts.
    Replace {
        host: u8,
    },
    /// The target starts to drain and the announcement is lost; only load reports show it.
    DrainUnannounced {
        host: u8,
    },
    Remove {
        host: u8,
    },
    /// A request finds that the host belongs to another service.
    Disown {
        host: u8,
    },
    Pick {
        zone: u8,
        exclude: u8,
    },
    End {
        running: u16,
        outcome: TargetOutcome,
        queued: u32,
    },
    FailZone {
        zone: u8,
    },
    Wait {
        millis: u64,
    },
}

pub struct Steps;

fn state() -> impl Strategy<Value = TargetState> {
    prop_oneof![
        1 => Just(TargetState::Starting),
        10 => Just(TargetState::Serving),
        1 => Just(TargetState::Draining),
        1 => Just(TargetState::Stopped),
    ]
}

fn outcome() -> impl Strategy<Value = TargetOutcome> {
    prop_oneof![
        6 => Just(TargetOutcome::Answered),
        1 => Just(TargetOutcome::Refused),
        1 => Just(TargetOutcome::Rejected),
        1 => Just(TargetOutcome::Cancelled),
        1 => Just(TargetOutcome::Failed),
        2 => Just(TargetOutcome::ConnectFailed),
        1 => Just(TargetOutcome::ConnectionLost),
        1 => Just(TargetOutcome::Silent),
    ]
}

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let host = any::<u8>();
        prop_oneof![
            10 => (host, state()).prop_map(|(host, state)| Step::Announce { host, state }),
            2 => host.prop_map(|host| Step::AnnounceLate { host }),
            2 => host.prop_map(|host| Step::Replace { host }),
            2 => host.prop_map(|host| Step::DrainUnannounced { host }),
            1 => host.prop_map(|host| Step::Remove { host }),
            1 => any::<u8>().prop_map(|host| Step::Disown { host }),
            30 => (any::<u8>(), any::<u8>())
                .prop_map(|(zone, exclude)| Step::Pick { zone, exclude }),
            30 => (any::<u16>(), outcome(), 0u32..20)
                .prop_map(|(running, outcome, queued)| Step::End { running, outcome, queued }),
            1 => any::<u8>().prop_map(|zone| Step::FailZone { zone }),
            8 => (0u64..800).prop_map(|millis| Step::Wait { millis }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

pub struct RouterTest<const FAULT: u8>;

impl<const FAULT: u8> StateMachineTest for RouterTest<FAULT> {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new(FAULT)
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check();
    }
}
