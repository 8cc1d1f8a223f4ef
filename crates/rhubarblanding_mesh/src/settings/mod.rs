//! Settings of one process, after validation.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use rhubarblanding_accounts::quota::QuotaBound;
use rhubarblanding_core::prelude::*;
use rhubarblanding_store::StoreSettings;

/// Addresses on which a node listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Listener for clients and the local target.
    pub client: SocketAddr,
    /// Listener for other nodes.
    pub peer: SocketAddr,
    /// Address at which other nodes reach `peer`; it identifies this host to them.
    pub advertised: SocketAddr,
    /// Listener for readiness checks.
    pub ready: SocketAddr,
    /// Listener for reports of the local target.
    pub control: SocketAddr,
    /// Listener for metrics.
    pub metrics: SocketAddr,
}

/// Bound on the retries to one service over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Retries allowed in addition, per window.
    pub slack: f64,
    /// Window in which retries and requests are counted.
    pub window: Duration,
}

/// Bounds on what a node may do with outdated knowledge of client accounts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountBounds {
    /// Longest time for which a node may admit a key after it was withdrawn; `None` if there is no
    /// such bound for nodes that cannot learn of it.
    pub withdrawal: Option<Duration>,
    /// Time within which a node that can reach the others or the key-value service acts on a new
    /// version.
    pub adoption: Duration,
    /// Bound on the requests of an account; `None` if quotas are not kept.
    pub quota: Option<QuotaBound>,
}

impl Default for AccountBounds {
    fn default() -> Self {
        Self {
            withdrawal: None,
            adoption: Duration::from_secs(2),
            quota: None,
        }
    }
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct MeshSettings {
    /// Name of the node, for log lines.
    pub node_name: String,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Service of the local target.
    pub service: ServiceName,
    /// Address of the local target.
    pub target_addr: SocketAddr,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Nodes that are contacted first.
    pub seeds: Vec<HostId>,
    /// Connection to the key-value service.
    pub store: StoreSettings,
    /// Time from the stop signal until the process is killed.
    pub grace_period: Duration,
    /// Bound on retries.
    pub retry_bound: RetryBound,
    /// Bounds for client accounts.
    pub accounts: AccountBounds,
    /// Memory that the process may hold, in bytes. It is read at the start only.
    pub memory_bytes: u64,
    /// `true` if requests are sent to the servers of a service by their learned speed. It is read at
    /// the start only.
    pub places_by_speed: bool,
    /// File that the settings were read from.
    pub source: PathBuf,
}
