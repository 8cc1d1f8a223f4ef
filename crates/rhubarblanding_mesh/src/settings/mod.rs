//! Settings of one process, checked.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use rhubarblanding_core::prelude::*;
use rhubarblanding_store::StoreSettings;

/// Addresses on which a node listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// For clients and the local target.
    pub client: SocketAddr,
    /// For other nodes.
    pub peer: SocketAddr,
    /// Where other nodes reach `peer`; it names this host to them.
    pub advertised: SocketAddr,
    /// For the question whether this node takes clients.
    pub ready: SocketAddr,
    /// For reports of the local target.
    pub control: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Bound of retries to one service over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries in proportion to requests.
    pub ratio: f64,
    /// Retries allowed besides in each window.
    pub slack: f64,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct MeshSettings {
    /// Name of the node, for log lines.
    pub node_name: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service of the local target.
    pub service: ServiceName,
    /// Address of the local target.
    pub target_addr: SocketAddr,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Nodes to contact first.
    pub seeds: Vec<HostId>,
    /// Key-value service.
    pub store: StoreSettings,
    /// Time from the signal to stop until the process is ended by force.
    pub grace_period: Duration,
    /// Bound of retries.
    pub retry_bound: RetryBound,
    /// File that the settings were read from.
    pub source: PathBuf,
}
