//! Random steps of the state machine test.

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rhubarblanding_admission::prelude::FinishResult;
use rhubarblanding_core::prelude::Importance;

use crate::harness::Harness;

/// Fault that is injected to check that the oracle detects it.
pub struct Fault;

impl Fault {
    pub const NONE: u8 = 0;
    pub const NO_EVICTION: u8 = 1;
    pub const NO_ORDER: u8 = 2;
    pub const LOST_EVENT: u8 = 3;
}

/// One random step. Indices are taken modulo the number of candidates.
#[derive(Clone, Debug)]
pub enum Step {
    Arrive {
        importance: Importance,
        root: u64,
        deadline_ms: u64,
        kind: u16,
    },
    Finish {
        running: u16,
        result: FinishResult,
        downstream_ms: u64,
    },
    Cancel {
        index: u16,
    },
    Wait {
        millis: u64,
    },
    WaitForDue,
    SetSlots {
        slots: u32,
    },
    Drain,
}

pub struct Steps;

fn arrive() -> impl Strategy<Value = Step> {
    let importance = prop_oneof![
        4 => Just(Importance::Background),
        4 => Just(Importance::Normal),
        3 => Just(Importance::High),
        2 => Just(Importance::Critical),
    ];
    (importance, any::<u64>(), 1u64..2_000, 0u16..3).prop_map(
        |(importance, root, deadline_ms, kind)| Step::Arrive {
            importance,
            root,
            deadline_ms,
            kind,
        },
    )
}

fn finish() -> impl Strategy<Value = Step> {
    let result = prop_oneof![
        8 => Just(FinishResult::Completed),
        1 => Just(FinishResult::Failed),
        1 => Just(FinishResult::Shed),
    ];
    (any::<u16>(), result, 0u64..20).prop_map(|(running, result, downstream_ms)| Step::Finish {
        running,
        result,
        downstream_ms,
    })
}

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            120 => arrive(),
            40 => finish(),
            4 => any::<u16>().prop_map(|index| Step::Cancel { index }),
            20 => (0u64..30).prop_map(|millis| Step::Wait { millis }),
            2 => (0u64..1_000).prop_map(|millis| Step::Wait { millis }),
            6 => Just(Step::WaitForDue),
            2 => (0u32..12).prop_map(|slots| Step::SetSlots { slots }),
            1 => Just(Step::Drain),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

pub struct GateTest<const FAULT: u8>;

impl<const FAULT: u8> StateMachineTest for GateTest<FAULT> {
    type SystemUnderTest = Harness;
    type Reference = Steps;

    fn init_test((): &()) -> Harness {
        Harness::new(FAULT)
    }

    fn apply(mut harness: Harness, (): &(), step: Step) -> Harness {
        harness.apply(step);
        harness
    }

    fn check_invariants(harness: &Harness, (): &()) {
        harness.check();
    }
}
