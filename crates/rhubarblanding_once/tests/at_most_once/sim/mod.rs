//! Many nodes, callers, backend servers and a store in one process, driven by drawn operations.

mod apply;
mod callers;
mod cluster;
mod events;
mod network;
pub mod operations;
mod oracle;

pub use cluster::{Cluster, Setup};
pub use operations::Op;
pub use oracle::Tally;
