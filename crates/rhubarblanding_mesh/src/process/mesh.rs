//! Starting and stopping of a process.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use error_stack::{Report, ResultExt};
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::Input;
use rhubarblanding_node::process::{Lifecycle, Starting};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use super::shared::Shared;
use super::{configuration, control, member, registration};
use crate::connection::{ClientServer, Handler, PeerServer, bind};
use crate::dialect::Dialect;
use crate::request::{handle_client, handle_peer};
use crate::settings::MeshSettings;

/// Time after the start in which a node takes no clients unless it has read the addresses of the
/// others: without them it could only refuse.
const SETTLE_MAX: Duration = Duration::from_millis(1_500);
/// Time after the start after which reports of the target are trusted though it could not be read
/// which lives of it left.
const TRUST_MAX: Duration = Duration::from_millis(1_500);
/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two rounds that close idle connections to the target.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the signal to stop in which the platform takes this node's clients away: two
/// questions, a second apart, and what is on the way.
const STOP_CLIENTS: Duration = Duration::from_millis(2_600);
/// Time without a request after which clients are taken to have gone. Those that keep a connection
/// to a stopping node use it several times a second.
const STOP_QUIET: Duration = Duration::from_millis(700);
/// Time after the signal to stop after which new requests of clients are refused, with a time to
/// come back, so that those taken before can end.
const STOP_TAKING: Duration = Duration::from_millis(2_900);
/// Time before the end in which requests of other nodes are refused, so that those taken before can
/// end. Until then they are taken: those that know of a target elsewhere send none.
const STOP_PEERS: Duration = Duration::from_millis(1_500);
/// Part of the grace period that is left for ending the process.
const STOP_RESERVE: Duration = Duration::from_millis(500);
/// Time between two looks at the open requests while stopping.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Why a process could not start.
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

/// Reads the settings anew; fails with the reason as text.
pub type SettingsSource = Box<dyn Fn() -> Result<MeshSettings, String> + Send + Sync>;

/// A process whose listening sockets are open.
pub struct Mesh {
    node: Arc<Shared>,
    lifecycle: Lifecycle<Starting>,
    source: SettingsSource,
    stop: watch::Sender<bool>,
    terminate: Signal,
    hangup: Signal,
}

impl Mesh {
    /// Opens the listening sockets and starts every part. Must be called inside a runtime.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub fn start(
        settings: MeshSettings,
        dialect: Arc<dyn Dialect>,
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
        let (node, outputs) = Shared::new(settings, dialect);
        let node = Arc::new(node);
        let (stop, stopped) = watch::channel(false);
        let (listed, settled) = watch::channel(false);
        let (trust, trusted) = watch::channel(false);
        listen(&node, &stopped, settled, trusted)?;
        node.announce();
        let seeds = node.settings().seeds.clone();
        node.member_input(Input::Seeds(seeds));
        tokio::spawn(member::execute_outputs(Arc::clone(&node), outputs));
        tokio::spawn(member::tick(Arc::clone(&node)));
        tokio::spawn(configuration::follow(Arc::clone(&node)));
        tokio::spawn(settle(listed.clone()));
        tokio::spawn(registration::maintain(Arc::clone(&node), listed));
        tokio::spawn(read_departed(Arc::clone(&node), trust));
        let local = Arc::clone(&node);
        tokio::spawn(async move { local.local.run_timers(&local).await });
        tokio::spawn(close_idle(Arc::clone(&node)));
        Ok(Self {
            node,
            lifecycle,
            source,
            stop,
            terminate,
            hangup,
        })
    }

    /// Serves until the signal to stop, then finishes what is open.
    pub async fn run(self) {
        self.run_until(std::future::pending()).await;
    }

    /// Serves until the signal to stop or until `stop` completes, then finishes what is open.
    pub async fn run_until(mut self, stop: impl Future<Output = ()>) {
        tokio::pin!(stop);
        let lifecycle = self.lifecycle.serve();
        let mut modified = modified(&self.node);
        loop {
            tokio::select! {
                _ = self.terminate.recv() => break,
                () = &mut stop => break,
                _ = self.hangup.recv() => reload(&self.node, &self.source),
                () = tokio::time::sleep(SETTINGS_INTERVAL) => {
                    let now = self::modified(&self.node);
                    if now != modified {
                        modified = now;
                        reload(&self.node, &self.source);
                    }
                }
            }
        }
        let lifecycle = lifecycle.drain();
        drain(&self.node, &self.stop).await;
        lifecycle.stop();
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
            node.set_settings(settings);
        }
        Err(reason) => log::warn!(reason = reason; "settings_invalid"),
    }
}

/// Finishes what is open: new work is taken until the clients have been led elsewhere.
async fn drain(node: &Arc<Shared>, stop: &watch::Sender<bool>) {
    let began = tokio::time::Instant::now();
    node.set_stopping();
    node.announce();
    let end = node.settings().grace_period.saturating_sub(STOP_RESERVE);
    loop {
        let elapsed = began.elapsed();
        if elapsed >= STOP_TAKING {
            node.refuse_clients();
        }
        if elapsed >= end.saturating_sub(STOP_PEERS) {
            node.refuse_peers();
        }
        let is_quiet = node.open_requests() == 0 && node.idle_time() >= STOP_QUIET;
        if elapsed >= end || (is_quiet && elapsed >= STOP_CLIENTS) {
            break;
        }
        tokio::time::sleep(STOP_POLL).await;
    }
    node.refuse_clients();
    node.refuse_peers();
    stop.send_replace(true);
    loop {
        // What has arrived at the last moment is to be read before it is looked for.
        tokio::time::sleep(STOP_POLL).await;
        let is_idle = node.open_requests() == 0 && !node.has_pending_records();
        if is_idle || began.elapsed() >= end {
            break;
        }
    }
    log::info!(open_requests = node.open_requests(); "drained");
    node.member_input(Input::Announce {
        state: TargetState::Stopped,
        slots: 0,
    });
    // What was written last has to leave.
    tokio::time::sleep(STOP_POLL).await;
}

async fn settle(settled: watch::Sender<bool>) {
    tokio::time::sleep(SETTLE_MAX).await;
    settled.send_replace(true);
}

async fn read_departed(node: Arc<Shared>, trust: watch::Sender<bool>) {
    let read = tokio::time::timeout(TRUST_MAX, async {
        loop {
            match registration::read_departed(&node).await {
                Ok(count) => break count,
                Err(report) => {
                    log::info!(reason:% = report.current_context(); "departures_not_read");
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            }
        }
    });
    match read.await {
        Ok(departed) => log::info!(departed = departed; "departures_read"),
        Err(_) => log::warn!("reports_trusted_without_departures"),
    }
    trust.send_replace(true);
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
    settled: watch::Receiver<bool>,
    trusted: watch::Receiver<bool>,
) -> Result<(), Report<StartError>> {
    let addrs = node.settings().listen.clone();
    let open = |addr| {
        bind(addr)
            .change_context(StartError::Listen)
            .attach(format!("{addr}"))
    };
    let outbound = open(addrs.outbound)?;
    let peer = open(addrs.peer)?;
    let ready = open(addrs.ready)?;
    let control = open(addrs.control)?;
    let metrics = open(addrs.metrics)?;

    let at = Arc::clone(node);
    let clients = Arc::new(ClientServer::new(Arc::new(move |req, addr| {
        Box::pin(handle_client(Arc::clone(&at), req, addr))
    })));
    tokio::spawn(Arc::clone(&clients).serve(outbound, stopped.clone()));
    tokio::spawn(follow_limits(Arc::clone(node), clients));

    let at = Arc::clone(node);
    let peers = PeerServer::new(Arc::new(move |req, addr| {
        Box::pin(handle_peer(Arc::clone(&at), req, addr))
    }));
    tokio::spawn(peers.serve(peer, stopped.clone()));

    let at = Arc::clone(node);
    serve_small(
        control,
        stopped,
        Arc::new(move |req, addr| {
            Box::pin(control::handle_control(
                Arc::clone(&at),
                trusted.clone(),
                req,
                addr,
            ))
        }),
    );
    let at = Arc::clone(node);
    serve_small(
        ready,
        stopped,
        Arc::new(move |_, _| Box::pin(control::handle_ready(Arc::clone(&at), settled.clone()))),
    );
    let at = Arc::clone(node);
    serve_small(
        metrics,
        stopped,
        Arc::new(move |_, _| Box::pin(control::handle_metrics(Arc::clone(&at)))),
    );
    Ok(())
}

fn serve_small(tcp: tokio::net::TcpListener, stopped: &watch::Receiver<bool>, handler: Handler) {
    let server = Arc::new(ClientServer::new(handler));
    tokio::spawn(server.serve(tcp, stopped.clone()));
}

/// Applies the limits of each new configuration to connections of clients.
async fn follow_limits(node: Arc<Shared>, clients: Arc<ClientServer>) {
    let mut versions = node.watch_version();
    while versions.changed().await.is_ok() {
        if let Some(version) = node.version() {
            let limits = version.configuration().limits;
            clients.set_limits(limits.header_bytes, limits.idle_timeout);
        }
    }
}
