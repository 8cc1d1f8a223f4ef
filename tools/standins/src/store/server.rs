//! Listener and shared state of the service.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::faults::{Calls, Faults};
use super::kv::Kv;
use super::routes::{self, Dropped};

/// Time between two looks for lapsed leases.
const EXPIRY_PERIOD: Duration = Duration::from_millis(10);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// State shared by all connections.
#[derive(Debug)]
pub(super) struct Shared {
    kv: Mutex<Kv>,
    faults: Mutex<Faults>,
    calls: Mutex<Calls>,
    changes: watch::Sender<()>,
    /// Number of times that the service was restored from a copy.
    era: AtomicU64,
    /// Connections accepted so far.
    accepted: AtomicU64,
    /// Connections up to this number are silent.
    silent_up_to: AtomicU64,
}

impl Shared {
    fn new() -> Self {
        Self {
            kv: Mutex::default(),
            faults: Mutex::default(),
            calls: Mutex::default(),
            changes: watch::Sender::new(()),
            era: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            silent_up_to: AtomicU64::new(0),
        }
    }

    pub(super) fn faults(&self) -> Faults {
        *lock(&self.faults)
    }

    /// Sets the faults and wakes waiting watches, so that an outage reaches them.
    pub(super) fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
        self.changes.send_replace(());
    }

    pub(super) fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    pub(super) fn calls(&self) -> Calls {
        *lock(&self.calls)
    }

    pub(super) fn count(&self, change: impl FnOnce(&mut Calls)) {
        change(&mut lock(&self.calls));
    }

    pub(super) fn with_kv<R>(&self, read: impl FnOnce(&Kv) -> R) -> R {
        read(&lock(&self.kv))
    }

    pub(super) fn change_kv<R>(&self, change: impl FnOnce(&mut Kv) -> R) -> R {
        let result = change(&mut lock(&self.kv));
        self.changes.send_replace(());
        result
    }

    /// Makes every connection that is open at present silent for good.
    pub(super) fn silence_connections(&self) {
        let accepted = self.accepted.load(Ordering::Relaxed);
        self.silent_up_to.store(accepted, Ordering::Relaxed);
    }

    /// Does not return if the connection is silent.
    async fn pass(&self, connection: u64) {
        if connection <= self.silent_up_to.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Drops the connection if the request is to be lost before it is applied.
    pub(super) fn lose_request(&self) -> Result<(), Dropped> {
        take_one(&mut lock(&self.faults).lose_request_before_apply)
    }

    /// Drops the connection if the answer is to be lost after the request was applied.
    pub(super) fn lose_answer(&self) -> Result<(), Dropped> {
        take_one(&mut lock(&self.faults).lose_answer_after_apply)
    }

    fn expire(&self) {
        let removed = lock(&self.kv).expire(Instant::now());
        if removed {
            self.changes.send_replace(());
        }
    }
}

fn take_one(count: &mut u32) -> Result<(), Dropped> {
    match count.checked_sub(1) {
        Some(rest) => {
            *count = rest;
            Err(Dropped)
        }
        None => Ok(()),
    }
}

/// A running key-value service; it stops when dropped.
#[derive(Debug)]
pub struct StoreServer {
    addr: SocketAddr,
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl StoreServer {
    /// Listens on `addr`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::new());
        let tasks = vec![
            tokio::spawn(accept(listener, shared.clone())),
            tokio::spawn(expire(shared.clone())),
        ];
        Ok(Self {
            addr,
            shared,
            tasks,
        })
    }

    /// Address that the service listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Faults in force.
    pub fn faults(&self) -> Faults {
        self.shared.faults()
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Makes every connection that is open at present silent for good; new ones work.
    pub fn silence_connections(&self) {
        self.shared.silence_connections();
    }

    /// Copies the present state.
    pub fn copy(&self) -> Kv {
        self.shared.with_kv(Kv::clone)
    }

    /// Replaces the state by a copy and begins a new era: what was written since is lost.
    pub fn restore(&self, copy: Kv) {
        self.shared.era.fetch_add(1, Ordering::Relaxed);
        self.shared.change_kv(|kv| *kv = copy);
    }

    /// Counts of calls so far.
    pub fn calls(&self) -> Calls {
        self.shared.calls()
    }
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn expire(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(EXPIRY_PERIOD);
    loop {
        ticks.tick().await;
        shared.expire();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    // Connections end with this task.
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve(stream, shared.clone()));
            }
            Err(_) => tokio::time::sleep(EXPIRY_PERIOD).await,
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let connection = shared.accepted.fetch_add(1, Ordering::Relaxed) + 1;
    let service = service_fn(move |req| {
        let shared = shared.clone();
        async move {
            shared.pass(connection).await;
            // A task of its own applies a slow write also after its caller has given up.
            let answer = tokio::spawn(routes::handle(shared.clone(), req)).await;
            shared.pass(connection).await;
            answer.unwrap_or(Err(Dropped))
        }
    });
    // Errors are dropped connections, which the switches ask for.
    let _ = auto::Builder::new(TokioExecutor::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
