//! A fleet of nodes with their targets and a key-value service, all in the test process.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rhubarblanding_core::prelude::*;
use rhubarblanding_mesh::prelude::*;
use rhubarblanding_mesh::settings::{AccountBounds, ListenSettings, RetryBound};
use rhubarblanding_standins::process::free_addresses;
use rhubarblanding_standins::store::{Faults, Kv, StoreServer};

use rhubarblanding_store::{Key, Revision, StoreClient, StoreSettings};

use super::gate::Gate;
use super::node::Node;
use super::protocol::{CONFIGURATION_KEY, configuration_text};
use super::target::Target;

/// Maximum wait for a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

type HttpClient = Client<HttpConnector, Full<bytes::Bytes>>;

/// Settings of the hosts of a fleet that differ between tests.
#[derive(Clone, Copy)]
pub struct HostOptions {
    pub accounts: AccountBounds,
    pub grace_period: Duration,
}

impl Default for HostOptions {
    fn default() -> Self {
        Self {
            accounts: AccountBounds::default(),
            grace_period: Duration::from_secs(6),
        }
    }
}

/// A node and its target.
pub struct Host {
    pub client: SocketAddr,
    pub peer: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub service: &'static str,
    pub target: Target,
    node: Mutex<Node>,
    settings: MeshSettings,
}

impl Host {
    fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answer received by a client; `None` if the connection ended without one.
pub type Answer = Option<(StatusCode, http::HeaderMap, String)>;

pub struct Fleet {
    pub hosts: Vec<Host>,
    pub store: StoreServer,
    /// Ways of the hosts to the store.
    pub gates: Vec<Gate>,
    client: HttpClient,
}

impl Fleet {
    /// Starts a host for each of `services`, all with `routes` as their configuration.
    pub async fn start(services: &[&'static str], routes: &[(&str, &str, bool)]) -> Self {
        let fleet = Self::without_configuration(services).await;
        fleet.configure(1, routes).await;
        fleet.serve().await;
        fleet
    }

    pub async fn without_configuration(services: &[&'static str]) -> Self {
        Self::with_accounts(services, AccountBounds::default(), "").await
    }

    /// Starts hosts with bounds for client accounts; waits until they serve, if the text of a
    /// configuration is given.
    pub async fn with_accounts(
        services: &[&'static str],
        accounts: AccountBounds,
        configuration: &str,
    ) -> Self {
        let options = HostOptions {
            accounts,
            ..HostOptions::default()
        };
        Self::with_options(services, options, configuration).await
    }

    /// Starts hosts with `options`; waits until they serve, if the text of a configuration is
    /// given.
    pub async fn with_options(
        services: &[&'static str],
        options: HostOptions,
        configuration: &str,
    ) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreServer::start(any).await.expect("a free port");
        let (mut hosts, mut gates) = (Vec::new(), Vec::new());
        for service in services {
            let gate = Gate::start(store.addr()).await.expect("a free port");
            hosts.push(start_host(service, gate.addr, options).await);
            gates.push(gate);
        }
        let fleet = Self {
            gates,
            hosts,
            store,
            client: Client::builder(TokioExecutor::new()).build_http(),
        };
        if !configuration.is_empty() {
            fleet.configure_text(configuration.to_owned()).await;
            fleet.serve().await;
        }
        fleet
    }

    async fn serve(&self) {
        for i in 0..self.hosts.len() {
            self.report(i, 1, "ready").await;
        }
        self.wait_until_ready().await;
        // Time for the first reports to reach the other nodes.
        tokio::time::sleep(Duration::from_millis(800)).await;
    }

    pub async fn configure(&self, version: u64, routes: &[(&str, &str, bool)]) {
        self.configure_text(configuration_text(version, routes))
            .await;
    }

    pub async fn configure_text(&self, value: String) {
        let store = StoreClient::new(StoreSettings {
            addr: self.store.addr(),
            ..StoreSettings::default()
        });
        let key = Key::from_static(CONFIGURATION_KEY);
        let known = store.get(&key).await.expect("an answer");
        let known = known.map_or(Revision::ABSENT, |known| known.revision);
        let put = store.compare_and_swap(&key, known, value.into()).await;
        put.expect("the configuration is stored");
    }

    /// Takes the key-value service away for a moment and brings it back with an older state.
    pub async fn restore_store(&self, copy: Kv) {
        self.store.set_faults(Faults {
            outage: true,
            ..Faults::default()
        });
        tokio::time::sleep(Duration::from_millis(200)).await;
        self.store.restore(copy);
        self.store.set_faults(Faults::default());
    }

    /// Keys with `prefix` in the key-value service.
    pub async fn stored(&self, prefix: &'static str) -> usize {
        let store = StoreClient::new(StoreSettings {
            addr: self.store.addr(),
            ..StoreSettings::default()
        });
        let listed = store.list(&Key::from_static(prefix)).await;
        listed.expect("a list").len()
    }

    /// Starts a graceful stop of host `i`.
    pub fn stop(&self, i: usize) {
        self.hosts[i].node().stop();
    }

    /// Stops host `i` gracefully after `delay`.
    pub fn stop_after(&self, i: usize, delay: Duration) -> impl Future<Output = ()> + use<> {
        let stop = self.hosts[i].node().stopper();
        async move {
            tokio::time::sleep(delay).await;
            drop(stop);
        }
    }

    /// Ends the node of host `i` at once.
    pub async fn kill(&self, i: usize) {
        let ended = self.hosts[i].node().kill();
        // The sender is dropped at the end.
        let _ = ended.await;
    }

    /// Starts the node of host `i` anew, after its end.
    pub async fn start_again(&self, i: usize) {
        let settings = self.hosts[i].settings.clone();
        let node = Node::start(settings).await;
        *self.hosts[i].node() = node;
    }

    async fn wait_until_ready(&self) {
        let began = Instant::now();
        for host in &self.hosts {
            while self.get(host.ready, "/").await.map(|a| a.0) != Some(StatusCode::OK) {
                assert!(began.elapsed() < READY_TIMEOUT, "the fleet is not ready");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Reports the state of the target of host `i`; returns the status of the acknowledgement.
    pub async fn report(&self, i: usize, sequence: u64, state: &str) -> Option<StatusCode> {
        let service = self.hosts[i].service;
        self.control(i, format!("report {service} i{i} 1 {sequence} {state} 8"))
            .await
    }

    pub async fn control(&self, i: usize, body: String) -> Option<StatusCode> {
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/", self.hosts[i].control))
            .body(Full::from(body));
        let resp = self.client.request(req.ok()?).await.ok()?;
        Some(resp.status())
    }

    /// Sends a message to the node of host `i` as another node does.
    pub async fn tell(&self, i: usize, path: &str, body: String) -> Option<StatusCode> {
        let client: HttpClient = Client::builder(TokioExecutor::new())
            .http2_only(true)
            .build_http();
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.hosts[i].peer))
            .body(Full::from(body));
        Some(client.request(req.ok()?).await.ok()?.status())
    }

    pub async fn get(&self, addr: SocketAddr, path: &str) -> Answer {
        let req = Request::builder().uri(format!("http://{addr}{path}"));
        self.send(req.body(Full::default()).ok()?).await
    }

    /// Sends a client request to the node of host `i`.
    pub async fn request(&self, i: usize, path: &str, id: &str) -> Answer {
        self.request_with(i, path, id, &[]).await
    }

    /// Sends a client request with further headers to the node of host `i`.
    pub async fn request_with(
        &self,
        i: usize,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Answer {
        self.request_within(i, path, (id, "2500"), headers).await
    }

    /// Sends a client request with a deadline in milliseconds to the node of host `i`.
    pub async fn request_within(
        &self,
        i: usize,
        path: &str,
        (id, deadline_ms): (&str, &str),
        headers: &[(&str, &str)],
    ) -> Answer {
        let mut req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.hosts[i].client))
            .header("host", "mesh.example")
            .header("t-id", id)
            .header("t-deadline", deadline_ms)
            .header("t-caller", "forged")
            .header("rb-hop", "forged");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        self.send(req.body(Full::from("question")).ok()?).await
    }

    async fn send(&self, req: Request<Full<bytes::Bytes>>) -> Answer {
        let resp = self.client.request(req).await.ok()?;
        let (parts, body) = resp.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let text = String::from_utf8_lossy(&body).into_owned();
        Some((parts.status, parts.headers, text))
    }

    /// Heads of the runs of the request with this identifier.
    pub fn heads_of(&self, id: &str) -> Vec<String> {
        let ran = self.hosts.iter().flat_map(|host| host.target.ran());
        ran.filter(|head| super::target::header(head, "t-id") == Some(id))
            .collect()
    }

    /// Number of times that targets ran the request with this identifier.
    pub fn runs_of(&self, id: &str) -> usize {
        self.heads_of(id).len()
    }
}

async fn start_host(service: &'static str, store: SocketAddr, options: HostOptions) -> Host {
    let target = Target::start().await.expect("a free port");
    let free = free_addresses(5).expect("free ports");
    let listen = ListenSettings {
        client: free[0],
        peer: free[1],
        advertised: free[1],
        ready: free[2],
        control: free[3],
        metrics: free[4],
    };
    let settings = MeshSettings {
        node_name: format!("node-{}", free[0]),
        zone: ZoneName::try_from("ros").expect("a name"),
        service: ServiceName::try_from(service).expect("a name"),
        target_addr: target.addr,
        listen: listen.clone(),
        seeds: Vec::new(),
        store: StoreSettings {
            addr: store,
            ..StoreSettings::default()
        },
        grace_period: options.grace_period,
        retry_bound: RetryBound {
            ratio: 0.2,
            slack: 48.0,
            window: Duration::from_secs(10),
        },
        accounts: options.accounts,
        memory_bytes: 256 << 20,
        places_by_speed: true,
        source: "none".into(),
    };
    Host {
        client: listen.client,
        peer: listen.peer,
        control: listen.control,
        ready: listen.ready,
        metrics: listen.metrics,
        service,
        target,
        node: Mutex::new(Node::start(settings.clone()).await),
        settings,
    }
}
