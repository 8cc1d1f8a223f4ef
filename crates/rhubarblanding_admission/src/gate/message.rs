//! Inputs and outputs of a gate.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Kind of request at one backend server, numbered by the owner of the gate.
///
/// Service times are learned for each kind apart. Numbers above [`KindId::MAX`] share one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct KindId(pub u16);

impl KindId {
    /// Highest number with an entry of its own.
    pub const MAX: u16 = 63;

    pub(crate) fn index(self) -> usize {
        usize::from(self.0.min(Self::MAX))
    }
}

/// A request that asks to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Number chosen by the owner of the gate, distinct among the requests that it holds.
    pub id: u64,
    /// Priority of the request's chain.
    pub priority: Priority,
    /// Time after which the answer is of no use.
    pub deadline: MonoTime,
    /// Kind of the request.
    pub kind: KindId,
}

/// Answer to an [`Arrival`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Dispatch it now.
    Admitted,
    /// Hold it until a [`GateEvent`] names it.
    Queued,
    /// Answer it with the refusal now.
    Refused(Refusal),
}

/// Later verdict on a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateEvent {
    /// Dispatch the request now.
    Admitted(u64),
    /// Answer the request with the refusal now.
    Refused(u64, Refusal),
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishResult {
    /// The backend server answered.
    Completed,
    /// The backend server failed or its connection broke.
    Failed,
    /// The backend server shed it.
    Shed,
}

/// End of an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// Time from dispatch to the answer's head.
    pub latency: Duration,
    /// Part of the latency during which the request waited for its own downstream calls.
    pub downstream: Duration,
    /// How it ended.
    pub result: FinishResult,
}
