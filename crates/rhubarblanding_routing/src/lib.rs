//! Route lookup, and target selection with load estimates, zone preference, slow start, ejection
//! and drain.
//!
//! A node keeps one [`Router`](router::Router) for each service that it calls.

pub mod router;
pub mod table;
pub mod target;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::router::{DrainingUse, PickRequest, Router, RouterSettings, SpeedChange};
    pub use crate::target::{HealthStatus, TargetId, TargetOutcome, WorkKind};
}
