//! Inputs and outputs of a gate.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Kind of request at one backend server, numbered by the owner of the gate.
///
/// Service times are estimated per kind. Numbers from [`KindId::MAX`] on share one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct KindId(pub u16);

impl KindId {
    /// Highest number with an entry.
    pub const MAX: u16 = 63;

    pub(crate) fn index(self) -> usize {
        usize::from(self.0.min(Self::MAX))
    }
}

/// A request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Identifier chosen by the owner of the gate, unique among the requests that the gate holds.
    pub id: u64,
    /// Priority of the request and of the calls that it makes.
    pub priority: Priority,
    /// Time after which the answer is of no use.
    pub deadline: MonoTime,
    /// Kind of the request.
    pub kind: KindId,
}

/// Immediate decision on an [`Arrival`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Dispatch it now.
    Admitted,
    /// Hold it until a [`GateEvent`] with its identifier.
    Queued,
    /// Answer it with the refusal now.
    Refused(Refusal),
}

/// Decision on a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateEvent {
    /// Dispatch the request now.
    Admitted(u64),
    /// Answer the request with the refusal now.
    Refused(u64, Refusal),
}

/// Result of an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishResult {
    /// The backend server answered.
    Completed,
    /// The backend server failed or its connection broke.
    Failed,
    /// The backend server shed the request.
    Shed,
}

/// End of an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finish {
    /// Time from dispatch to the head of the answer.
    pub latency: Duration,
    /// Part of the latency that the request spent waiting for its downstream calls.
    pub downstream: Duration,
    /// Result of the request.
    pub result: FinishResult,
}
