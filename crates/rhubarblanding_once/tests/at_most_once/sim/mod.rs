//! Many nodes, callers, backend servers and a store in one process, driven by drawn operations.

mod apply;
mod callers;
mod cluster;
mod events;
pub mod machine;
mod network;
mod oracle;

pub use cluster::{Cluster, Setup};
pub use machine::Op;
pub use oracle::Tally;
