//! A whole deployment on the loopback interface: store, nodes and backend servers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use error_stack::{Report, ResultExt};
use http::{Method, StatusCode};
use rhubarblanding_core::names::ServiceName;
use uuid::Uuid;

use super::child::ChildProcess;
use super::host::Host;
use super::plan::{ClusterPlan, ClusterSettings};
use super::programs::Programs;
use crate::backend::Run;
use crate::error::StandinError;
use crate::headers;
use crate::http::{client, get_json, send_json};
use crate::store::{Calls, Faults};

/// Time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

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
        Self::start_plan(programs, ClusterPlan::new(cfg)?)
    }

    /// Starts all processes as planned.
    ///
    /// # Errors
    ///
    /// [`StandinError::Process`] if a process cannot be started.
    pub fn start_plan(
        programs: &Programs,
        plan: ClusterPlan,
    ) -> Result<Self, Report<StandinError>> {
        let store_address = plan.store;
        let with_nodes = plan.hosts.iter().any(|host| host.node.is_some());
        let store = match with_nodes {
            true => Some(start_store(programs, store_address)?),
            false => None,
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

    /// Caller faces of the nodes beside the backend servers of `service`.
    pub fn entries_of(&self, service: &str) -> Vec<SocketAddr> {
        let hosts = self.hosts_of(service);
        let nodes = hosts.iter().filter_map(|host| host.cfg.node);
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

    /// Waits until a read and a keyed write at `path` succeed through every node for every service.
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
                for method in [Method::GET, Method::POST] {
                    let answers = async || answers(&method, entry, &path).await;
                    wait_until(limit, &what, answers).await?;
                }
            }
        }
        Ok(())
    }

    /// Waits until keyed writes to every service have succeeded through every node for `time`.
    ///
    /// The table of homes for idempotency keys changes a few times while nodes join.
    ///
    /// # Errors
    ///
    /// [`StandinError::Timeout`] if that takes longer than `limit`.
    pub async fn wait_steady(
        &self,
        path: &str,
        time: Duration,
        limit: Duration,
    ) -> Result<(), Report<StandinError>> {
        let mut since = Instant::now();
        wait_until(limit, "writes succeed steadily", async || {
            for entry in self.entries() {
                for host in &self.hosts {
                    let path = format!("/{}{path}", host.cfg.service);
                    if !answers(&Method::POST, entry, &path).await {
                        since = Instant::now();
                    }
                }
            }
            since.elapsed() >= time
        })
        .await
    }

    /// Requests that reached the backend servers of `service`; those that were ended are left out.
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

async fn answers(method: &Method, entry: SocketAddr, path: &str) -> bool {
    let client = client();
    let req = http::Request::builder()
        .method(method)
        .uri(format!("http://{entry}{path}"))
        .header(headers::REQUEST_ID, "probe")
        .header(headers::IDEMPOTENCY_KEY, Uuid::now_v7().to_string())
        .body(http_body_util::Full::default());
    let Ok(req) = req else {
        return false;
    };
    let answer = tokio::time::timeout(Duration::from_secs(1), client.request(req)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status() == StatusCode::OK)
}

fn start_store(
    programs: &Programs,
    address: SocketAddr,
) -> Result<ChildProcess, Report<StandinError>> {
    let args = ["store", "--listen", &address.to_string()].map(str::to_owned);
    ChildProcess::start_standin(programs, "store", &args).attach("key-value service")
}
