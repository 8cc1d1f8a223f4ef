//! Admission control in front of a backend server: limits, queue and shedding.
//!
//! [`Gate`](gate::Gate) stands in front of one backend server. [`EntryGate`](entry::EntryGate)
//! refuses work for an overloaded service where it enters the system, and
//! [`CallerThrottle`](entry::CallerThrottle) answers callers who come back too early.

pub mod entry;
pub mod gate;
pub mod limit;
pub mod retry_after;
pub mod slots;

/// The names that a user of this crate types daily.
pub mod prelude {
    pub use crate::entry::{CallerId, CallerThrottle, EntryGate, EntrySettings, ThrottleSettings};
    pub use crate::gate::{
        AgePolicy, Arrival, Decision, Finish, FinishResult, Gate, GateEvent, GateSettings, KindId,
    };
    pub use crate::limit::LimitSettings;
    pub use crate::retry_after::BackoffSettings;
}
