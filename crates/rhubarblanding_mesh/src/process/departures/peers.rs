//! What a node tells a starting one about the nodes that may hold its departures.

use std::fmt;
use std::time::Duration;

use http::HeaderName;
use rhubarblanding_core::prelude::*;

use super::learn::ASKED_AT_START;
use super::{in_order, other_nodes};
use crate::process::Shared;

/// Header of an answer about departures; its value is a [`KnownPeers`].
pub(crate) const PEERS_HEADER: HeaderName = HeaderName::from_static("rb-peers");
/// Time after its start from which a node knows all others that it can reach.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// Nodes that a node knows, in the order in which they hold departures from the asking host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownPeers {
    /// `true` if the node has run for long enough to know all nodes that it can reach.
    pub is_settled: bool,
    /// The nodes.
    pub hosts: Vec<HostId>,
}

impl KnownPeers {
    /// Returns what `node` knows, for a process on `asking`.
    pub(super) fn of(node: &Shared, asking: HostId) -> Self {
        Self {
            is_settled: node.clock.now().since(MonoTime::ZERO) >= SETTLED_AFTER,
            hosts: in_order(asking, other_nodes(node), ASKED_AT_START),
        }
    }
}

impl fmt::Display for KnownPeers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", u8::from(self.is_settled))?;
        self.hosts.iter().try_for_each(|host| write!(f, ",{host}"))
    }
}

/// Error for text that is not a [`KnownPeers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidPeers;

impl TryFrom<&str> for KnownPeers {
    type Error = InvalidPeers;

    fn try_from(raw: &str) -> Result<Self, InvalidPeers> {
        let mut fields = raw.split(',');
        let is_settled = match fields.next() {
            Some("0") => false,
            Some("1") => true,
            _ => return Err(InvalidPeers),
        };
        let hosts = fields.map(|host| host.parse().map(HostId).map_err(|_| InvalidPeers));
        Ok(Self {
            is_settled,
            hosts: hosts.collect::<Result<_, _>>()?,
        })
    }
}
