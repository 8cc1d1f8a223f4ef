//! Counters of a process and their export.
//!
//! The hot path adds to atomics; a reporter sends the differences through `cadence` once a second.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::{Counted, QueuingMetricSink, StatsdClient, UdpMetricSink};
use rhubarblanding_core::prelude::*;
use rhubarblanding_request::reason::RetryReason;
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Prefix of every exported counter.
const STATSD_PREFIX: &str = "rhubarblanding";

/// Events that are neither a refusal nor a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
pub enum Event {
    /// A request came from a caller.
    #[strum(serialize = "caller.requests")]
    CallerRequest,
    /// A backend server's answer went to a caller.
    #[strum(serialize = "caller.answers")]
    CallerAnswer,
    /// A downstream call came from the backend server.
    #[strum(serialize = "local.calls")]
    LocalCall,
    /// A downstream call came with an unknown or missing token.
    #[strum(serialize = "local.unknown_tokens")]
    UnknownToken,
    /// A call came from another node.
    #[strum(serialize = "peer.calls")]
    PeerCall,
    /// A request was sent to the backend server.
    #[strum(serialize = "backend.dispatches")]
    BackendDispatch,
    /// An answer of the backend server broke off before its end.
    #[strum(serialize = "backend.cut_answers")]
    CutAnswer,
    /// A recorded answer was repeated for an idempotency key.
    #[strum(serialize = "once.repeats")]
    RecordedAnswer,
    /// A request was cancelled because its caller went away.
    #[strum(serialize = "caller.cancelled")]
    Cancelled,
    /// A control message was sent to another node.
    #[strum(serialize = "control.sent")]
    ControlSent,
    /// A control message could not be delivered.
    #[strum(serialize = "control.lost")]
    ControlLost,
    /// A newer version of the document was adopted.
    #[strum(serialize = "document.adopted")]
    DocumentAdopted,
    /// A call of the platform's service failed.
    #[strum(serialize = "store.errors")]
    StoreError,
}

/// All counters of one process.
#[derive(Debug)]
pub struct Counters {
    refusals: [AtomicU64; ErrorKind::COUNT],
    retries: [AtomicU64; RetryReason::COUNT],
    events: [AtomicU64; Event::COUNT],
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            refusals: [const { AtomicU64::new(0) }; ErrorKind::COUNT],
            retries: [const { AtomicU64::new(0) }; RetryReason::COUNT],
            events: [const { AtomicU64::new(0) }; Event::COUNT],
        }
    }
}

impl Counters {
    /// Counts an answer of the system itself.
    pub fn refusal(&self, kind: ErrorKind) {
        self.refusals[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a retry.
    pub fn retry(&self, reason: RetryReason) {
        self.retries[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an event.
    pub fn event(&self, event: Event) {
        self.events[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Present value of every counter by name.
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        let read = |value: &AtomicU64| value.load(Ordering::Relaxed);
        let refusals =
            ErrorKind::iter().map(|k| (k.answer().counter, read(&self.refusals[k as usize])));
        let retries = RetryReason::iter().map(|r| (r.counter(), read(&self.retries[r as usize])));
        let events = Event::iter().map(|e| (e.into(), read(&self.events[e as usize])));
        refusals.chain(retries).chain(events).collect()
    }
}

/// Sends the growth of the counters as statsd datagrams.
pub struct Reporter {
    client: StatsdClient,
    last: BTreeMap<&'static str, u64>,
}

impl Reporter {
    /// Opens a socket towards `addr`.
    ///
    /// # Errors
    ///
    /// Fails if no local socket can be bound.
    pub fn open(addr: SocketAddr) -> std::io::Result<Self> {
        let bind: SocketAddr = match addr {
            SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
            SocketAddr::V6(_) => ([0u16; 8], 0).into(),
        };
        let socket = UdpSocket::bind(bind)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(addr, socket).map_err(std::io::Error::other)?;
        let client = StatsdClient::from_sink(STATSD_PREFIX, QueuingMetricSink::from(sink));
        Ok(Self {
            client,
            last: BTreeMap::new(),
        })
    }

    /// Sends what was counted since the last report; datagrams that cannot be sent are lost.
    pub fn report(&mut self, counters: &Counters) {
        let snapshot = counters.snapshot();
        for (name, value) in &snapshot {
            let grown = value - self.last.get(name).copied().unwrap_or(0);
            if grown > 0 {
                self.client.count_with_tags(name, grown).send();
            }
        }
        self.last = snapshot;
    }
}
