//! Target selection: load estimates, zone preference, slow start, ejection and drain.
//!
//! A node keeps one [`Router`](router::Router) for each service that it calls.

pub mod router;
pub mod table;
pub mod target;

/// The names that a user of this crate types daily.
pub mod prelude {
    pub use crate::router::{DrainingUse, PickRequest, Router, RouterSettings};
    pub use crate::target::{HealthStatus, TargetId, TargetOutcome};
}
