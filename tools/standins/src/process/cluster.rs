//! A whole deployment on the loopback interface: store, nodes and backend servers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use http::{Method, StatusCode};
use rhubarblanding_core::names::{ServiceName, ZoneName};

use super::child::ChildProcess;
use super::host::{Host, HostSettings, NodeAddresses};
use super::ports::free_addresses;
use super::programs::Programs;
use crate::backend::{BackendSettings, DirectTarget, Run};
use crate::error::StandinError;
use crate::headers;
use crate::http::{client, get_json, send_json};
use crate::store::{Calls, Faults};

/// Number of listen addresses of one host.
const ADDRESSES_PER_HOST: usize = 5;
/// Number of nodes that are named to the others as first contact.
const SEEDS: usize = 2;
/// Time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

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

/// A running cluster; dropping it ends its processes.
#[derive(Debug)]
pub struct Cluster {
    /// Hosts, service by service.
    pub hosts: Vec<Host>,
    /// Address of the platform's key-value service.
    pub store_address: SocketAddr,
    store: Option<ChildProcess>,
}

impl Cluster {
    /// Starts all processes; [`Cluster::wait_ready`] tells when they can be used.
    ///
    /// # Errors
    ///
    /// [`StandinError::Process`] if a process cannot be started.
    pub fn start(programs: &Programs, cfg: &ClusterSettings) -> Result<Self, Report<StandinError>> {
        let plan = plan(cfg)?;
        let store_address = plan.store;
        let store = match cfg.without_nodes {
            true => None,
            false => Some(start_store(programs, store_address)?),
        };
        let hosts = plan
            .hosts
            .into_iter()
            .enumerate()
            .map(|(index, host)| {
                let name = format!("{}-{index}", host.service);
                Host::start(programs, name, host)
            })
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Self {
            hosts,
            store_address,
            store,
        })
    }

    /// Hosts of `service`.
    pub fn hosts_of(&self, service: &str) -> Vec<&Host> {
        self.hosts
            .iter()
            .filter(|host| host.cfg.service.as_str() == service)
            .collect()
    }

    /// Caller faces of all nodes.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let nodes = self.hosts.iter().filter_map(|host| host.cfg.node);
        nodes.map(|node| node.caller).collect()
    }

    /// Addresses of the backend servers of `service`.
    pub fn backends_of(&self, service: &str) -> Vec<SocketAddr> {
        let hosts = self.hosts_of(service);
        hosts.iter().map(|host| host.cfg.backend.listen).collect()
    }

    /// Waits until every backend server and every operator face answers.
    ///
    /// # Errors
    ///
    /// [`StandinError::Timeout`] if that takes longer than `limit`.
    pub async fn wait_ready(&self, limit: Duration) -> Result<(), Report<StandinError>> {
        for host in &self.hosts {
            wait_until(limit, "backend server answers", async || {
                host.backend().counters().await.is_ok()
            })
            .await?;
            if let Some(operator) = host.operator() {
                wait_until(limit, "node answers", async || {
                    operator.status().await.is_ok()
                })
                .await?;
            }
        }
        Ok(())
    }

    /// Waits until a request at `path` succeeds through every node for every service.
    ///
    /// # Errors
    ///
    /// [`StandinError::Timeout`] if that takes longer than `limit`.
    pub async fn wait_serving(
        &self,
        path: &str,
        limit: Duration,
    ) -> Result<(), Report<StandinError>> {
        let mut services: Vec<&ServiceName> =
            self.hosts.iter().map(|host| &host.cfg.service).collect();
        services.dedup();
        for entry in self.entries() {
            for service in &services {
                let what = format!("{service} answers through {entry}");
                let path = format!("/{service}{path}");
                wait_until(limit, &what, async || answers(entry, &path).await).await?;
            }
        }
        Ok(())
    }

    /// Runs of all backend servers of `service`; those that were ended are left out.
    ///
    /// # Errors
    ///
    /// Fails if a backend server does not answer.
    pub async fn runs_of(&self, service: &str) -> Result<Vec<Run>, Report<StandinError>> {
        let mut runs = Vec::new();
        for host in self.hosts_of(service) {
            if host.server.is_some() {
                runs.extend(host.backend().runs().await?);
            }
        }
        Ok(runs)
    }

    /// Sets the faults of the platform's key-value service.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub async fn set_store_faults(&self, faults: Faults) -> Result<(), Report<StandinError>> {
        let client = client();
        let sent = send_json(
            &client,
            Method::POST,
            self.store_address,
            "/v1/faults",
            &faults,
        );
        sent.await.map(|_| ())
    }

    /// Calls that the platform's key-value service has counted.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub async fn store_calls(&self) -> Result<Calls, Report<StandinError>> {
        get_json(&client(), self.store_address, "/v1/calls").await
    }

    /// Ends the platform's key-value service for good.
    pub fn kill_store(&mut self) {
        self.store = None;
    }
}

/// Waits until `condition` holds.
///
/// # Errors
///
/// [`StandinError::Timeout`] if that takes longer than `limit`.
pub async fn wait_until(
    limit: Duration,
    what: &str,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<(), Report<StandinError>> {
    let started = Instant::now();
    while !condition().await {
        if started.elapsed() > limit {
            return Err(Report::new(StandinError::Timeout).attach(what.to_owned()));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn answers(entry: SocketAddr, path: &str) -> bool {
    let client = client();
    let req = http::Request::get(format!("http://{entry}{path}"))
        .header(headers::REQUEST_ID, "probe")
        .body(http_body_util::Full::default());
    let Ok(req) = req else {
        return false;
    };
    let answer = tokio::time::timeout(Duration::from_secs(1), client.request(req)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status() == StatusCode::OK)
}

/// Addresses and settings of every process before the start.
struct Plan {
    store: SocketAddr,
    hosts: Vec<HostSettings>,
}

fn plan(cfg: &ClusterSettings) -> Result<Plan, Report<StandinError>> {
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
    Ok(Plan { store, hosts })
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

fn start_store(
    programs: &Programs,
    address: SocketAddr,
) -> Result<ChildProcess, Report<StandinError>> {
    let args = ["store", "--listen", &address.to_string()].map(str::to_owned);
    ChildProcess::start_standin(programs, "store", &args).attach("key-value service")
}
