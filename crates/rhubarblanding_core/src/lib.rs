//! Identifiers, units, error kinds and the timer service shared by every crate.
//!
//! This crate performs no I/O and reads no clock: callers pass [`time::MonoTime`] and
//! [`time::UnixMillis`] values in.

pub mod collections;
pub mod error;
pub mod ids;
pub mod importance;
pub mod load;
pub mod names;
pub mod target;
pub mod testing;
pub mod time;
pub mod timer;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::collections::{HashMap, HashSet};
    pub use crate::error::{Decider, ErrorKind, Refusal, RetryAdvice, RunState};
    pub use crate::ids::{
        AccountKey, DocVersion, HostId, IdempotencyKey, Incarnation, RootId, TableVersion,
        TicketNumber,
    };
    pub use crate::importance::{AdmissionLevel, Idempotency, Importance, Priority};
    pub use crate::load::LoadReport;
    pub use crate::names::{KindName, ServiceName, ZoneName};
    pub use crate::target::{TargetInfo, TargetState};
    pub use crate::time::{MonoTime, UnixMillis};
    pub use crate::timer::{TimerKey, TimerService};
}
