//! TCP relay that can make connections silent, break them or delay their bytes.

mod control;
mod pump;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::error::StandinError;

/// Settings of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address that connections are passed on to.
    pub target: SocketAddr,
    /// Address of the HTTP control face, if there is to be one.
    pub control: Option<SocketAddr>,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            target: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            control: None,
        }
    }
}

/// State of one connection through the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ConnState {
    /// Bytes pass both ways.
    #[default]
    Open,
    /// No byte passes, and neither end is told.
    Frozen,
    /// No byte passes from the end that opened the connection.
    FrozenUp,
    /// No byte passes to the end that opened the connection.
    FrozenDown,
    /// Both ends are closed.
    Cut,
}

impl ConnState {
    /// Whether bytes pass in a direction.
    fn passes(self, direction: Direction) -> bool {
        match self {
            Self::Open | Self::Cut => true,
            Self::Frozen => false,
            Self::FrozenUp => direction == Direction::Down,
            Self::FrozenDown => direction == Direction::Up,
        }
    }
}

/// Direction of bytes, seen from the end that opened the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the end that opened the connection.
    Up,
    /// To the end that opened the connection.
    Down,
}

/// What happens to connections that exist, to new ones and to bytes; absent fields change nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RelayChange {
    /// Makes all connections that exist silent for good.
    pub freeze: bool,
    /// Makes all connections that exist silent in one direction.
    pub freeze_one_way: Option<Direction>,
    /// Lets bytes pass again on connections that are silent.
    pub thaw: bool,
    /// Whether new connections are silent from their start.
    pub freeze_new: Option<bool>,
    /// Closes all connections that exist.
    pub cut: bool,
    /// Whether new connections are closed at once.
    pub refuse_new: Option<bool>,
    /// Time by which bytes are delayed, in milliseconds.
    pub delay_ms: Option<u64>,
}

/// Counts of a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayCounts {
    /// Connections accepted since the start.
    pub accepted: u64,
    /// Connections frozen since the start.
    pub frozen: u64,
    /// Connections cut since the start.
    pub cut: u64,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    conns: Mutex<Vec<watch::Sender<ConnState>>>,
    refuse_new: Mutex<bool>,
    freeze_new: AtomicBool,
    delay_ms: AtomicU64,
    accepted: AtomicU64,
    frozen: AtomicU64,
    cut: AtomicU64,
}

impl Shared {
    fn new(target: SocketAddr) -> Self {
        Self {
            target,
            conns: Mutex::default(),
            refuse_new: Mutex::default(),
            freeze_new: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            frozen: AtomicU64::new(0),
            cut: AtomicU64::new(0),
        }
    }

    fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms.load(Ordering::Relaxed))
    }

    fn refuses_new(&self) -> bool {
        self.refuse_new.lock().is_ok_and(|refuse| *refuse)
    }

    fn change(&self, change: RelayChange) {
        if change.freeze {
            let count = self.set_state(ConnState::Frozen);
            self.frozen.fetch_add(count, Ordering::Relaxed);
        }
        if let Some(direction) = change.freeze_one_way {
            let count = self.set_state(match direction {
                Direction::Up => ConnState::FrozenUp,
                Direction::Down => ConnState::FrozenDown,
            });
            self.frozen.fetch_add(count, Ordering::Relaxed);
        }
        if let Some(freeze) = change.freeze_new {
            self.freeze_new.store(freeze, Ordering::Relaxed);
        }
        if change.thaw {
            self.set_state(ConnState::Open);
        }
        if change.cut {
            let count = self.set_state(ConnState::Cut);
            self.cut.fetch_add(count, Ordering::Relaxed);
        }
        if let (Some(refuse), Ok(mut current)) = (change.refuse_new, self.refuse_new.lock()) {
            *current = refuse;
        }
        if let Some(ms) = change.delay_ms {
            self.delay_ms.store(ms, Ordering::Relaxed);
        }
    }

    /// Moves every connection that exists into `state` and returns their number.
    fn set_state(&self, state: ConnState) -> u64 {
        let Ok(mut conns) = self.conns.lock() else {
            return 0;
        };
        conns.retain(|conn| !conn.is_closed());
        for conn in conns.iter() {
            conn.send_replace(state);
        }
        conns.len() as u64
    }

    fn register(&self) -> watch::Receiver<ConnState> {
        self.accepted.fetch_add(1, Ordering::Relaxed);
        let state = match self.freeze_new.load(Ordering::Relaxed) {
            true => ConnState::Frozen,
            false => ConnState::Open,
        };
        let (tx, rx) = watch::channel(state);
        if let Ok(mut conns) = self.conns.lock() {
            conns.push(tx);
        }
        rx
    }

    fn counts(&self) -> RelayCounts {
        RelayCounts {
            accepted: self.accepted.load(Ordering::Relaxed),
            frozen: self.frozen.load(Ordering::Relaxed),
            cut: self.cut.load(Ordering::Relaxed),
        }
    }
}

/// A running relay; it stops when dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay on the current runtime.
    ///
    /// # Errors
    ///
    /// [`StandinError::Listen`] if an address cannot be listened on.
    pub async fn start(cfg: RelaySettings) -> Result<Self, Report<StandinError>> {
        let listener = TcpListener::bind(cfg.listen)
            .await
            .change_context(StandinError::Listen)
            .attach_with(|| cfg.listen)?;
        let address = listener.local_addr().change_context(StandinError::Listen)?;
        let shared = Arc::new(Shared::new(cfg.target));
        let mut tasks = vec![tokio::spawn(accept(listener, shared.clone()))];
        if let Some(control) = cfg.control {
            tasks.push(control::start(control, shared.clone()).await?);
        }
        Ok(Self {
            address,
            shared,
            tasks,
        })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to connections and bytes.
    pub fn change(&self, change: RelayChange) {
        self.shared.change(change);
    }

    /// Makes all connections that exist silent for good and returns their number.
    pub fn freeze(&self) -> u64 {
        let before = self.counts().frozen;
        self.change(RelayChange {
            freeze: true,
            ..RelayChange::default()
        });
        self.counts().frozen - before
    }

    /// Counts so far.
    pub fn counts(&self) -> RelayCounts {
        self.shared.counts()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        self.shared.set_state(ConnState::Cut);
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if !shared.refuses_new() {
            tokio::spawn(connect(stream, shared.clone()));
        }
    }
}

async fn connect(near: TcpStream, shared: Arc<Shared>) {
    let state = shared.register();
    if let Ok(far) = TcpStream::connect(shared.target).await {
        pump::both_ways(near, far, shared, state).await;
    }
}
