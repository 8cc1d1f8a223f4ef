//! Overload control for service call graphs.
//!
//! This crate re-exports the crates of the workspace, each of which can be used alone. The
//! decisions are made by state machines without I/O; the [`node`] crate runs them in a daemon.

pub mod cli;

pub use rhubarblanding_admission as admission;
pub use rhubarblanding_core as core;
pub use rhubarblanding_membership as membership;
pub use rhubarblanding_node as node;
pub use rhubarblanding_once as once;
pub use rhubarblanding_request as request;
pub use rhubarblanding_routing as routing;
pub use rhubarblanding_store as store;
pub use rhubarblanding_tickets as tickets;
