//! Admission control at the node where a request enters the system.

mod gate;
mod throttle;

pub use gate::{EntryGate, EntrySettings};
pub use throttle::{CallerId, CallerThrottle, ThrottleSettings};
