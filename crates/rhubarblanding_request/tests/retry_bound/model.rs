//! Randomly generated transitions.

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::simulation::Simulation;

/// Faults, each of which breaks one mechanism and must be caught by the oracle.
pub struct Fault;

impl Fault {
    pub const NONE: u8 = 0;
    pub const LENT_NOT_DEDUCTED: u8 = 1;
    pub const REPEATS_NOT_CHARGED: u8 = 2;
    pub const RETRY_NOT_SPENT: u8 = 3;
    pub const DUPLICATE_DISPATCHES: u8 = 4;
    pub const SPENT_IS_RETURNED: u8 = 5;
}

/// Token that a backend server sends with a downstream call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenUse {
    Own,
    Missing,
    Forged,
}

/// Step of the simulation. Each index is taken modulo the number of candidates.
#[derive(Clone, Debug)]
pub enum Step {
    OpenRoot { allowance: u8 },
    Call { req: u16, call: u8, token: TokenUse },
    Answer { sent: u16 },
    RefuseNotRun { sent: u16 },
    BreakConnection { sent: u16, silent: bool },
    Deliver { answer: u16 },
    Duplicate { answer: u16 },
    LoseAnswer { answer: u16 },
    Close { req: u16 },
    Wait { secs: u8 },
}

pub struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let token = prop_oneof![
            12 => Just(TokenUse::Own),
            1 => Just(TokenUse::Missing),
            1 => Just(TokenUse::Forged),
        ];
        prop_oneof![
            1 => (0u8..=5).prop_map(|allowance| Step::OpenRoot { allowance }),
            16 => (any::<u16>(), 0u8..5, token)
                .prop_map(|(req, call, token)| Step::Call { req, call, token }),
            6 => any::<u16>().prop_map(|sent| Step::Answer { sent }),
            8 => any::<u16>().prop_map(|sent| Step::RefuseNotRun { sent }),
            4 => (any::<u16>(), any::<bool>())
                .prop_map(|(sent, silent)| Step::BreakConnection { sent, silent }),
            10 => any::<u16>().prop_map(|answer| Step::Deliver { answer }),
            1 => any::<u16>().prop_map(|answer| Step::Duplicate { answer }),
            2 => any::<u16>().prop_map(|answer| Step::LoseAnswer { answer }),
            1 => any::<u16>().prop_map(|req| Step::Close { req }),
            1 => (0u8..40).prop_map(|secs| Step::Wait { secs }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

pub struct TreeTest<const FAULT: u8>;

impl<const FAULT: u8> StateMachineTest for TreeTest<FAULT> {
    type SystemUnderTest = Simulation;
    type Reference = Steps;

    fn init_test((): &()) -> Simulation {
        Simulation::new(FAULT)
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        simulation.apply(step);
        simulation
    }

    fn check_invariants(simulation: &Simulation, (): &()) {
        simulation.check();
    }
}
