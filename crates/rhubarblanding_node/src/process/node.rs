//! Starting and stopping a node.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use flexi_logger::LoggerHandle;
use rhubarblanding_core::prelude::*;
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinHandle, JoinSet};

use super::counters::Reporter;
use super::homes::HomeKeeper;
use super::phase::{Lifecycle, Serving, Starting};
use super::shared::{Inboxes, Shared};
use super::{documents, homes, member};
use crate::connection::{Face, Listener};
use crate::control::control_module;
use crate::request::faces;
use crate::settings::Settings;

/// Time between two reports of the counters.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a draining node goes on to serve its peers, so that they learn of it.
const DRAIN_NOTICE: Duration = Duration::from_millis(500);

/// Time without an announcement after which a backend server counts as gone.
const ANNOUNCEMENT_LIMIT: Duration = Duration::from_secs(10);
/// Time between two looks at the last announcement.
const ANNOUNCEMENT_CHECK: Duration = Duration::from_secs(1);
/// Longest wait of a stop for a home table without this node.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(12);
/// Time between two looks at the home table during a stop.
const HAND_OVER_POLL: Duration = Duration::from_millis(100);

/// Why a node could not be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// A listen address could not be bound.
    Listen,
    /// The socket for statsd datagrams could not be opened.
    Statsd,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Listen => "a listen address cannot be bound",
            Self::Statsd => "the statsd socket cannot be opened",
        })
    }
}

impl std::error::Error for StartError {}

/// A node whose listeners are bound.
pub struct Node {
    shared: Arc<Shared>,
    inboxes: Inboxes,
    lifecycle: Lifecycle<Starting>,
    listeners: Listeners,
    reporter: Option<Reporter>,
}

struct Listeners {
    caller: Listener,
    local: Listener,
    peer: Listener,
    operator: Listener,
}

async fn bind(flag: &str, addr: SocketAddr) -> Result<Listener, Report<StartError>> {
    Listener::bind(addr)
        .await
        .change_context(StartError::Listen)
        .attach_with(|| format!("--{flag} {addr}"))
}

impl Node {
    /// Binds the listeners of a node.
    ///
    /// # Errors
    ///
    /// See [`StartError`].
    pub async fn bind(
        settings: Settings,
        logger: Option<LoggerHandle>,
    ) -> Result<Self, Report<StartError>> {
        let listen = settings.listen;
        let listeners = Listeners {
            caller: bind("caller-listen", listen.caller).await?,
            local: bind("local-listen", listen.local).await?,
            peer: bind("peer-listen", listen.peer).await?,
            operator: bind("operator-listen", listen.operator).await?,
        };
        let reporter = match settings.statsd {
            Some(addr) => Some(Reporter::open(addr).change_context(StartError::Statsd)?),
            None => None,
        };
        let lifecycle = Lifecycle::begin();
        let (shared, inboxes) = Shared::new(settings, lifecycle.reader(), logger);
        Ok(Self {
            shared,
            inboxes,
            lifecycle,
            listeners,
            reporter,
        })
    }

    /// Serves until the handle is told to stop.
    pub fn start(self) -> NodeHandle {
        let (stop, stopped) = oneshot::channel();
        let shared = Arc::clone(&self.shared);
        let task = tokio::spawn(self.run(async {
            // A dropped handle stops the node as well.
            let _ = stopped.await;
        }));
        NodeHandle { shared, stop, task }
    }

    /// Serves until `stop` completes, then finishes every request in progress.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        let mut loops = spawn_loops(&self.shared, self.inboxes, self.reporter);
        let (drained, _) = watch::channel(Stage::Serving);
        let serving = serve(&self.shared, self.listeners, &drained);
        let lifecycle = self.lifecycle.serve();
        stop.await;
        drain(&self.shared, lifecycle, serving, &drained).await;
        loops.abort_all();
    }
}

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
enum Stage {
    Serving,
    /// Callers and the backend server are no longer accepted.
    CallersClosed,
    /// Nobody is accepted.
    AllClosed,
}

struct ServingTasks {
    callers: JoinSet<()>,
    others: JoinSet<()>,
}

fn serve(node: &Arc<Shared>, listeners: Listeners, stage: &watch::Sender<Stage>) -> ServingTasks {
    let reached = |wanted: Stage| {
        let mut stage = stage.subscribe();
        async move {
            // An error means that the sender is gone, which is later than any stage.
            let _ = stage.wait_for(|stage| *stage >= wanted).await;
        }
    };
    let spawn = |set: &mut JoinSet<()>, listener: Listener, face: Face, until: Stage| {
        set.spawn(listener.serve(face, reached(until)));
    };
    let mut callers = JoinSet::new();
    let mut others = JoinSet::new();
    let control = control_module(Arc::clone(node));
    let closed = Stage::CallersClosed;
    spawn(&mut callers, listeners.caller, faces::caller(node), closed);
    let closed = Stage::AllClosed;
    spawn(
        &mut others,
        listeners.peer,
        faces::peer(node, control),
        closed,
    );
    spawn(&mut others, listeners.local, faces::local(node), closed);
    spawn(
        &mut others,
        listeners.operator,
        faces::operator(node),
        closed,
    );
    ServingTasks { callers, others }
}

/// Stops a node: new work is refused at once, and what is in progress is finished.
async fn drain(
    node: &Arc<Shared>,
    lifecycle: Lifecycle<Serving>,
    mut serving: ServingTasks,
    stage: &watch::Sender<Stage>,
) {
    let lifecycle = lifecycle.drain();
    node.backend_state(TargetState::Draining, None);
    let finish = async {
        tokio::time::sleep(DRAIN_NOTICE).await;
        stage.send_replace(Stage::CallersClosed);
        while serving.callers.join_next().await.is_some() {}
        node.gate.idle().await;
        hand_over(node).await;
        node.backend_state(TargetState::Stopped, None);
        tokio::time::sleep(DRAIN_NOTICE).await;
        stage.send_replace(Stage::AllClosed);
        while serving.others.join_next().await.is_some() {}
    };
    match node.settings.drain_limit {
        None => finish.await,
        Some(limit) => {
            if tokio::time::timeout(limit, finish).await.is_err() {
                log::warn!("drain limit reached with requests in progress");
            }
        }
    }
    lifecycle.stop();
}

/// Waits until other members decide on the keys that are minted from now on.
///
/// Without a change of the home table, for example while the platform's service is down, the wait
/// ends at [`HAND_OVER_LIMIT`]; what is recorded here is recorded at the copies as well.
async fn hand_over(node: &Arc<Shared>) {
    let give_up = node.clock.now() + HAND_OVER_LIMIT;
    while node.once.is_needed() && has_successor(node) && node.clock.now() < give_up {
        tokio::time::sleep(HAND_OVER_POLL).await;
    }
}

/// Whether another target of the own service is known to serve.
fn has_successor(node: &Shared) -> bool {
    let own = node.settings.host();
    let targets = node.with_member(|member| member.targets(&node.settings.service));
    targets
        .iter()
        .any(|target| target.info.host != own && target.info.state == TargetState::Serving)
}

fn spawn_loops(node: &Arc<Shared>, inboxes: Inboxes, reporter: Option<Reporter>) -> JoinSet<()> {
    let mut loops = JoinSet::new();
    let (watch_tx, watch_rx) = watch::channel(false);
    loops.spawn(member::tick(Arc::clone(node)));
    loops.spawn(member::carry_out(
        Arc::clone(node),
        inboxes.member,
        watch_tx,
    ));
    loops.spawn(documents::watch_store(Arc::clone(node), watch_rx));
    loops.spawn(homes::send_messages(Arc::clone(node), inboxes.once));
    loops.spawn(check_announcements(Arc::clone(node)));
    loops.spawn(Arc::clone(&node.gate).run());
    loops.spawn(Arc::clone(&node.once).run());
    if let Some(keeper) = HomeKeeper::new(Arc::clone(node)) {
        loops.spawn(keeper.run());
    }
    if let Some(reporter) = reporter {
        loops.spawn(report(Arc::clone(node), reporter));
    }
    loops
}

async fn check_announcements(node: Arc<Shared>) {
    loop {
        tokio::time::sleep(ANNOUNCEMENT_CHECK).await;
        node.check_announcement(ANNOUNCEMENT_LIMIT);
    }
}

async fn report(node: Arc<Shared>, mut reporter: Reporter) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        reporter.report(&node.counters);
    }
}

/// A running node.
pub struct NodeHandle {
    shared: Arc<Shared>,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl NodeHandle {
    /// State of the node.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops the node and waits until every request in progress has ended.
    pub async fn stop(self) {
        let _ = self.stop.send(());
        // A panic of the node's task was logged by the runtime.
        let _ = self.task.await;
    }
}
