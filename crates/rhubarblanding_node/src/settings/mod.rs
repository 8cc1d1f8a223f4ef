//! Settings of a node, read from flags and environment variables and checked as a whole.

mod command;
mod raw;

pub use command::command;
pub use raw::{FieldError, RawSettings, SettingsErrors};

use std::net::SocketAddr;
use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Form of the log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Addresses on which a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Face for callers.
    pub caller: SocketAddr,
    /// Face for the backend server on the same host; a loopback address.
    pub local: SocketAddr,
    /// Face for other nodes; names the host unless another address is advertised.
    pub peer: SocketAddr,
    /// Face for operators.
    pub operator: SocketAddr,
}

/// Checked settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Service of the backend server on this host.
    pub service: ServiceName,
    /// Availability zone of this host.
    pub zone: ZoneName,
    /// Listen addresses.
    pub listen: ListenAddresses,
    /// Address under which other nodes reach this one, if it is not its listen address.
    pub peer_advertise: Option<SocketAddr>,
    /// Address of the backend server on this host.
    pub backend: SocketAddr,
    /// Address of the platform's key-value service.
    pub store: SocketAddr,
    /// Peer addresses of nodes to contact first.
    pub seeds: Vec<HostId>,
    /// Level from which lines are logged.
    pub log_level: log::LevelFilter,
    /// Form of the log lines.
    pub log_format: LogFormat,
    /// Longest time that a stop waits for requests in progress; without it, it waits for all.
    pub drain_limit: Option<Duration>,
    /// Address to which counters are sent as statsd datagrams.
    pub statsd: Option<SocketAddr>,
    /// Worker threads of the runtime.
    pub threads: usize,
}

impl Settings {
    /// Identifier of this host.
    pub fn host(&self) -> HostId {
        HostId(self.peer_advertise.unwrap_or(self.listen.peer))
    }
}
