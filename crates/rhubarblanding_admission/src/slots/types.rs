//! Settings of a slot gate, and what goes in and comes out.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::{KindKey, RequestRate};

/// Settings of a [`SlotGate`](super::SlotGate).
#[derive(Clone, Debug)]
pub struct SlotSettings {
    /// Share of the announced slots that is used, at most 1. Some backend servers slow down when
    /// nearly all their slots are in use.
    pub usable_share: f64,
    /// Longest expected wait for a slot, as a share of the time left to the request's objective. A
    /// request with a longer expected wait is refused on arrival.
    pub max_wait_share: f64,
    /// Maximum number of waiting requests per slot.
    pub queue_per_slot: f64,
    /// Share of a request's time to its objective within which the open requests of its kind must
    /// be completed. Beyond that, new requests that make calls are refused, but not calls of
    /// running requests.
    pub completion_time_share: f64,
    /// Share of the slots that each kind may always have open: enough to detect that the downstream
    /// services have capacity again, few enough that all of them are served meanwhile.
    pub min_open_share: f64,
    /// Lower bound of the retry delay sent with a refusal.
    pub retry_after_min: Duration,
    /// Upper bound of the retry delay sent with a refusal.
    pub retry_after_max: Duration,
}

impl Default for SlotSettings {
    fn default() -> Self {
        Self {
            usable_share: 0.94,
            max_wait_share: 0.9,
            queue_per_slot: 16.0,
            completion_time_share: 0.7,
            min_open_share: 0.05,
            retry_after_min: Duration::from_millis(50),
            retry_after_max: Duration::from_secs(2),
        }
    }
}

/// A request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotArrival {
    /// Identifier chosen by the owner of the gate, unique among the requests that the gate holds.
    pub id: u64,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Kind of the request.
    pub kind: KindKey,
    /// Client account of the request, or of the request that made the call.
    pub account: AccountKey,
    /// `true` for a call of a request that runs elsewhere: refusing it wastes the work done there.
    pub is_call: bool,
    /// `true` if requests of its kind make calls, so that downstream services may delay it.
    pub makes_calls: bool,
    /// Time until which the answer has its full value.
    pub objective: MonoTime,
    /// Time after which the answer is of no use.
    pub deadline: MonoTime,
}

/// Immediate decision on a [`SlotArrival`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// Send it to the backend server now.
    Admitted,
    /// Hold it until a [`SlotEvent`] with its identifier.
    Queued,
    /// Refuse it now.
    Refused(Refusal),
}

/// Inputs of the decision on a request of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotInputs {
    /// Requests at the backend server.
    pub running: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
    /// Maximum number of slots in use.
    pub slots: u32,
    /// Average time that a request of the kind holds a slot.
    pub hold: Duration,
    /// Running and waiting requests of the kind.
    pub open: u32,
    /// Requests of the kind completed in the last second.
    pub completed_per_s: f64,
    /// Rate limit that the backend server names.
    pub rate: Option<RequestRate>,
    /// Accounts with requests waiting, counted once for each rank.
    pub accounts_queued: u32,
    /// Waiting requests of the account.
    pub queued_of_account: u32,
}

/// Decision on a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotEvent {
    /// Send the request to the backend server now.
    Admitted(u64),
    /// Refuse the request now.
    Refused(u64, Refusal),
}
