//! Real processes for tests and measurements: nodes and stand-ins on free loopback ports.

mod child;
mod cluster;
mod host;
mod operator;
mod plan;
mod ports;
mod programs;
mod ticket;

pub use child::{ChildProcess, Signal};
pub use cluster::{Cluster, wait_until};
pub use host::{Host, HostSettings, NodeAddresses};
pub use operator::{Operator, TicketAnswer};
pub use plan::{ClusterPlan, ClusterSettings, ServiceSettings};
pub use ports::free_addresses;
pub use programs::Programs;
pub use ticket::{Submission, TicketBackend, TicketFile, TicketKind, TicketService};
