//! Addresses and settings of the processes of a cluster.

use std::net::SocketAddr;

use error_stack::Report;
use rhubarblanding_core::names::{ServiceName, ZoneName};

use super::host::{HostSettings, NodeAddresses};
use super::ports::free_addresses;
use crate::backend::{BackendSettings, DirectTarget};
use crate::error::StandinError;

/// Number of listen addresses of one host.
const ADDRESSES_PER_HOST: usize = 5;
/// Number of nodes that are named to the others as first contact.
const SEEDS: usize = 2;

/// One service of a cluster.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of hosts.
    pub hosts: usize,
    /// Settings of its backend servers; addresses are filled in.
    pub backend: BackendSettings,
}

/// Settings of a cluster.
#[derive(Clone, Debug, Default)]
pub struct ClusterSettings {
    /// Services.
    pub services: Vec<ServiceSettings>,
    /// Availability zones, given to the hosts in turn.
    pub zones: Vec<ZoneName>,
    /// Whether backend servers call each other without nodes.
    pub without_nodes: bool,
    /// Further flags of each node.
    pub node_args: Vec<String>,
}

/// Addresses and settings of every process before the start.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Address of the platform's key-value service.
    pub store: SocketAddr,
    /// Hosts, service by service.
    pub hosts: Vec<HostSettings>,
}

impl ClusterPlan {
    /// Plan with free addresses.
    ///
    /// # Errors
    ///
    /// [`StandinError::Listen`] if there are too few free ports, [`StandinError::Settings`] if
    /// there is no availability zone.
    pub fn new(cfg: &ClusterSettings) -> Result<Self, Report<StandinError>> {
        plan(cfg)
    }
}

fn plan(cfg: &ClusterSettings) -> Result<ClusterPlan, Report<StandinError>> {
    let count: usize = cfg.services.iter().map(|service| service.hosts).sum();
    let mut addresses = free_addresses(1 + ADDRESSES_PER_HOST * count)?.into_iter();
    let mut next = || {
        let missing = || Report::new(StandinError::Listen).attach("too few ports");
        addresses.next().ok_or_else(missing)
    };
    let store = next()?;
    let mut hosts = Vec::new();
    for service in &cfg.services {
        for _ in 0..service.hosts {
            let node = NodeAddresses {
                caller: next()?,
                local: next()?,
                peer: next()?,
                operator: next()?,
            };
            hosts.push(host(cfg, service, hosts.len(), node, next()?, store)?);
        }
    }
    connect(&mut hosts);
    Ok(ClusterPlan { store, hosts })
}

fn host(
    cfg: &ClusterSettings,
    service: &ServiceSettings,
    index: usize,
    node: NodeAddresses,
    listen: SocketAddr,
    store: SocketAddr,
) -> Result<HostSettings, Report<StandinError>> {
    let no_zone = || Report::new(StandinError::Settings).attach("zones: at least one is needed");
    let zone = cfg.zones.get(index % cfg.zones.len().max(1));
    let node = (!cfg.without_nodes).then_some(node);
    let mut backend = service.backend.clone();
    backend.listen = listen;
    backend.seed = backend.seed.wrapping_add(index as u64);
    backend.calls.node = node.map(|node| node.local);
    Ok(HostSettings {
        service: service.name.clone(),
        zone: zone.ok_or_else(no_zone)?.clone(),
        node,
        backend_via: None,
        peer_via: None,
        seeds: Vec::new(),
        store,
        backend,
        node_args: cfg.node_args.clone(),
    })
}

/// Tells the hosts of each other.
fn connect(hosts: &mut [HostSettings]) {
    let nodes = hosts.iter().filter_map(|host| host.node);
    let seeds: Vec<SocketAddr> = nodes.map(|node| node.peer).take(SEEDS).collect();
    let direct: Vec<DirectTarget> = hosts
        .iter()
        .map(|host| DirectTarget {
            service: host.service.clone(),
            address: host.backend.listen,
        })
        .collect();
    for host in hosts {
        match host.node {
            Some(_) => host.seeds = seeds.clone(),
            None => host.backend.calls.direct = direct.clone(),
        }
    }
}
