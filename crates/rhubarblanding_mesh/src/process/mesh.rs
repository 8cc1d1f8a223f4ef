//! Start and stop of a process.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use error_stack::{Report, ResultExt};
use rhubarblanding_membership::prelude::Input;
use rhubarblanding_node::process::{Lifecycle, Starting};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use super::shared::Shared;
use super::{
    configuration, control, departures, freshness, member, quota, registration, stop, suspects,
};
use crate::connection::{AheadCounters, ClientHandler, ClientServer, Handler, PeerServer, bind};
use crate::protocol::Protocol;
use crate::request::{handle_client, handle_peer};
use crate::settings::MeshSettings;

/// Time after the start for which a node that has not read the addresses of the other nodes reports
/// that it is not ready for clients: without them it could only refuse requests.
const LISTING_WAIT_MAX: Duration = Duration::from_millis(1_500);
/// Time between two checks of the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which idle connections to the target are closed.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Reason for a failed start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// A listening socket could not be opened.
    Listen,
    /// Signals cannot be received.
    Signals,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Listen => "a listening socket cannot be opened",
            Self::Signals => "signals cannot be received",
        })
    }
}

impl std::error::Error for StartError {}

/// Reloads the settings; fails with the reason as text.
pub type SettingsSource = Box<dyn Fn() -> Result<MeshSettings, String> + Send + Sync>;

/// Process with open listening sockets.
pub struct Mesh {
    node: Arc<Shared>,
    lifecycle: Lifecycle<Starting>,
    source: SettingsSource,
    stop: watch::Sender<bool>,
    terminate: Signal,
    hangup: Signal,
}

impl Mesh {
    /// Opens the listening sockets and starts all tasks. Must be called inside a Tokio runtime.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub fn start(
        settings: MeshSettings,
        protocol: Arc<dyn Protocol>,
        source: SettingsSource,
    ) -> Result<Self, Report<StartError>> {
        let terminate = signal(SignalKind::terminate()).change_context(StartError::Signals)?;
        let hangup = signal(SignalKind::hangup()).change_context(StartError::Signals)?;
        log::info!(
            node = settings.node_name, zone:% = settings.zone, service:% = settings.service,
            host:% = settings.listen.advertised, package = env!("CARGO_PKG_VERSION");
            "started"
        );
        let lifecycle = Lifecycle::begin();
        let (node, outputs, quota_asks) = Shared::new(settings, protocol);
        let node = Arc::new(node);
        let (stop, stopped) = watch::channel(false);
        let (listed_tx, listed) = watch::channel(false);
        listen(&node, &stopped, listed)?;
        node.announce();
        let seeds = node.settings().seeds.clone();
        node.member_input(Input::Seeds(seeds));
        tokio::spawn(member::execute_outputs(Arc::clone(&node), outputs));
        tokio::spawn(member::tick(Arc::clone(&node)));
        tokio::spawn(configuration::follow(Arc::clone(&node)));
        tokio::spawn(end_listing_wait(listed_tx.clone()));
        tokio::spawn(registration::maintain(Arc::clone(&node), listed_tx));
        tokio::spawn(departures::learn(Arc::clone(&node)));
        tokio::spawn(registration::rerecord_departures(Arc::clone(&node)));
        let shared = Arc::clone(&node);
        tokio::spawn(async move { shared.local.run_timers(&shared).await });
        tokio::spawn(close_idle(Arc::clone(&node)));
        tokio::spawn(suspects::spread(Arc::clone(&node)));
        tokio::spawn(quota::maintain(Arc::clone(&node), quota_asks));
        tokio::spawn(freshness::renew(Arc::clone(&node)));
        Ok(Self {
            node,
            lifecycle,
            source,
            stop,
            terminate,
            hangup,
        })
    }

    /// Serves until the stop signal, then finishes the open requests.
    pub async fn run(self) {
        self.run_until(std::future::pending()).await;
    }

    /// Serves until the stop signal or until `stop` completes, then finishes the open requests.
    pub async fn run_until(mut self, stop: impl Future<Output = ()>) {
        let lifecycle = self.lifecycle.serve();
        let (node, terminate) = (&self.node, &mut self.terminate);
        // A stopping process serves for seconds, and its settings may change meanwhile.
        let settings = follow_settings(node, &self.source, &mut self.hangup);
        tokio::pin!(settings);
        tokio::select! {
            _ = terminate.recv() => {}
            () = stop => {}
            () = &mut settings => {}
        }
        let lifecycle = lifecycle.drain();
        tokio::select! {
            () = stop::drain(node, &self.stop) => {}
            () = &mut settings => {}
        }
        lifecycle.stop();
    }
}

/// Reloads the settings on a signal, and when their file changes; never completes.
async fn follow_settings(node: &Shared, source: &SettingsSource, hangup: &mut Signal) {
    let mut modified = self::modified(node);
    loop {
        tokio::select! {
            _ = hangup.recv() => reload(node, source),
            () = tokio::time::sleep(SETTINGS_INTERVAL) => {
                let now = self::modified(node);
                if now != modified {
                    modified = now;
                    reload(node, source);
                }
            }
        }
    }
}

fn modified(node: &Shared) -> Option<SystemTime> {
    let settings = node.settings();
    std::fs::metadata(&settings.source)
        .and_then(|m| m.modified())
        .ok()
}

fn reload(node: &Shared, source: &SettingsSource) {
    match source() {
        Ok(settings) => {
            log::info!(service:% = settings.service, target:% = settings.target_addr; "reloaded");
            node.member_input(Input::Seeds(settings.seeds.clone()));
            let before = node.settings().service.clone();
            let service = settings.service.clone();
            node.set_settings(settings);
            if service != before {
                node.change_service(&before, &service);
            }
        }
        Err(reason) => log::warn!(reason = reason; "settings_invalid"),
    }
}

async fn end_listing_wait(listed_tx: watch::Sender<bool>) {
    tokio::time::sleep(LISTING_WAIT_MAX).await;
    listed_tx.send_replace(true);
}

async fn close_idle(node: Arc<Shared>) {
    loop {
        tokio::time::sleep(IDLE_INTERVAL).await;
        node.backend.expire();
    }
}

fn listen(
    node: &Arc<Shared>,
    stopped: &watch::Receiver<bool>,
    listed: watch::Receiver<bool>,
) -> Result<(), Report<StartError>> {
    let addrs = node.settings().listen.clone();
    let open = |addr| {
        bind(addr)
            .change_context(StartError::Listen)
            .attach(format!("{addr}"))
    };
    let client = open(addrs.client)?;
    let peer = open(addrs.peer)?;
    let ready = open(addrs.ready)?;
    let control = open(addrs.control)?;
    let metrics = open(addrs.metrics)?;

    let shared = Arc::clone(node);
    let handler: ClientHandler =
        Arc::new(move |req, addr| Box::pin(handle_client(Arc::clone(&shared), req, addr)));
    let counters = node.metrics.ahead().clone();
    let clients = ClientServer::new(handler, counters, node.connections.clone());
    let clients = Arc::new(clients);
    tokio::spawn(Arc::clone(&clients).serve(client, stopped.clone()));
    tokio::spawn(apply_limits(Arc::clone(node), clients));

    let shared = Arc::clone(node);
    let handler: Handler =
        Arc::new(move |req, addr| Box::pin(handle_peer(Arc::clone(&shared), req, addr)));
    let peers = PeerServer::new(handler, node.connections.clone());
    tokio::spawn(peers.serve(peer, stopped.clone()));

    let shared = Arc::clone(node);
    let handler: ClientHandler = Arc::new(move |req, addr| {
        Box::pin(control::handle_control(Arc::clone(&shared), req, addr))
    });
    spawn_server(node, control, stopped, handler);
    let shared = Arc::clone(node);
    let handler: ClientHandler =
        Arc::new(move |_, _| Box::pin(control::handle_ready(Arc::clone(&shared), listed.clone())));
    spawn_server(node, ready, stopped, handler);
    let shared = Arc::clone(node);
    let handler: ClientHandler =
        Arc::new(move |_, _| Box::pin(control::handle_metrics(Arc::clone(&shared))));
    spawn_server(node, metrics, stopped, handler);
    Ok(())
}

fn spawn_server(
    node: &Shared,
    tcp: TcpListener,
    stopped: &watch::Receiver<bool>,
    handler: ClientHandler,
) {
    let counters = AheadCounters::default();
    let server = ClientServer::new(handler, counters, node.connections.clone());
    tokio::spawn(Arc::new(server).serve(tcp, stopped.clone()));
}

/// Applies the limits of each new configuration to client connections.
async fn apply_limits(node: Arc<Shared>, clients: Arc<ClientServer>) {
    let mut versions = node.watch_version();
    while versions.changed().await.is_ok() {
        if let Some(version) = node.version() {
            let limits = version.configuration().limits;
            clients.set_limits(limits.header_bytes, limits.idle_timeout);
        }
    }
}
