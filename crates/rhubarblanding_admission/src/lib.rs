//! Admission control in front of a backend server: limits, queue and shedding.
//!
//! Two gates control admission to one backend server: [`Gate`](gate::Gate) adapts a concurrency
//! limit to the measured latency, and [`SlotGate`](slots::SlotGate) assigns the announced slots.
//! [`EntryGate`](entry::EntryGate) refuses requests to an overloaded service at the node where they
//! enter the system, and [`CallerThrottle`](entry::CallerThrottle) throttles callers that retry too
//! early.

pub mod entry;
pub mod gate;
pub mod limit;
pub mod retry_after;
pub mod slots;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::entry::{CallerId, CallerThrottle, EntryGate, EntrySettings, ThrottleSettings};
    pub use crate::gate::{
        AgePolicy, Arrival, Decision, Finish, FinishResult, Gate, GateEvent, GateSettings, KindId,
    };
    pub use crate::limit::LimitSettings;
    pub use crate::retry_after::BackoffSettings;
}
