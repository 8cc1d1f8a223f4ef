//! Single calls to the key-value service.

mod connector;
mod counts;
mod eras;
mod transport;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;

use crate::codec::{CallKind, Freshness, NativeCodec, StoreCall, StoreCodec, WireAnswer};
use crate::error::StoreError;
use crate::key::Key;
use crate::value::{
    CasOutcome, Era, Lease, LeaseId, ListEntry, Revision, VALUE_MAX_BYTES, Versioned, WatchOutcome,
};
use counts::CallCounts;
use eras::Eras;
use transport::Transport;

pub use crate::codec::StoreResult;
pub use counts::CallCount;

/// Settings of a [`StoreClient`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// Address of the service.
    pub addr: SocketAddr,
    /// Time limit of a call; the wait of a watch is added to it.
    pub call_timeout: Duration,
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 7400)),
            call_timeout: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(500),
        }
    }
}

/// Client of the key-value service with pooled connections; clones share the pool.
#[derive(Clone, Debug)]
pub struct StoreClient {
    transport: Transport,
    codec: Arc<dyn StoreCodec>,
    eras: Arc<Eras>,
    counts: Arc<CallCounts>,
    losses: Arc<tokio::sync::watch::Sender<()>>,
}

impl StoreClient {
    /// Creates a client that uses the project's own wire format. No connection is opened before
    /// the first call.
    pub fn new(settings: StoreSettings) -> Self {
        Self::with_codec(settings, Arc::new(NativeCodec))
    }

    /// Creates a client that uses the wire format of `codec`.
    pub fn with_codec(settings: StoreSettings, codec: Arc<dyn StoreCodec>) -> Self {
        Self {
            transport: Transport::new(settings),
            codec,
            eras: Arc::default(),
            counts: Arc::default(),
            losses: Arc::default(),
        }
    }

    /// Returns the number of calls of one kind so far, those of all clones included.
    pub fn calls(&self, kind: CallKind) -> CallCount {
        self.counts.get(kind)
    }

    /// Returns a receiver that is notified when the service has been restored from an older copy.
    pub fn watch_era(&self) -> tokio::sync::watch::Receiver<Era> {
        self.eras.subscribe()
    }

    /// Returns a receiver that is notified of each call without an answer, other than watches.
    pub fn watch_losses(&self) -> tokio::sync::watch::Receiver<()> {
        self.losses.subscribe()
    }

    /// Reads the value of `key`, `None` if it has none.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::InvalidAnswer`].
    pub async fn get(&self, key: &Key) -> StoreResult<Option<Versioned>> {
        let answer = self.call(StoreCall::Get { key: key.clone() }).await?;
        self.codec.decode_get(answer)
    }

    /// Stores `value` under `key` if the key is at revision `expected`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] if it was certainly not stored, [`StoreError::AnswerLost`] if
    /// it may have been stored or may be stored later, [`StoreError::ValueTooLarge`],
    /// [`StoreError::EraChanged`] if `expected` is of an earlier era.
    pub async fn compare_and_swap(
        &self,
        key: &Key,
        expected: Revision,
        value: Bytes,
    ) -> StoreResult<CasOutcome> {
        self.put(key, expected, value, None).await
    }

    /// Stores `value` as [`compare_and_swap`](Self::compare_and_swap) does and binds it to
    /// `lease`: the value is removed when the lease lapses.
    ///
    /// # Errors
    ///
    /// As for [`compare_and_swap`](Self::compare_and_swap), and [`StoreError::LeaseLapsed`].
    pub async fn compare_and_swap_leased(
        &self,
        key: &Key,
        expected: Revision,
        value: Bytes,
        lease: LeaseId,
    ) -> StoreResult<CasOutcome> {
        self.put(key, expected, value, Some(lease)).await
    }

    /// Waits up to `wait` until `key` has a revision above `after`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`], [`StoreError::InvalidAnswer`], or
    /// [`StoreError::HistoryGone`] and [`StoreError::EraChanged`], after which the key has to be
    /// read.
    pub async fn watch(
        &self,
        key: &Key,
        after: Revision,
        wait: Duration,
    ) -> StoreResult<WatchOutcome> {
        let call = StoreCall::Watch {
            key: key.clone(),
            after,
            wait,
        };
        let answer = self.call(call).await?;
        self.codec.decode_watch(key, answer)
    }

    /// Requests a new lease of length `ttl`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`], or [`StoreError::AnswerLost`], after which a lease without a
    /// holder may exist; it lapses by itself.
    pub async fn grant_lease(&self, ttl: Duration) -> StoreResult<Lease> {
        let answer = self.call(StoreCall::Grant { ttl }).await?;
        self.codec.decode_lease(None, answer)
    }

    /// Extends `lease` to `ttl` from now.
    ///
    /// # Errors
    ///
    /// As for [`grant_lease`](Self::grant_lease), and [`StoreError::LeaseLapsed`] and
    /// [`StoreError::EraChanged`].
    pub async fn renew_lease(&self, lease: LeaseId, ttl: Duration) -> StoreResult<Lease> {
        let answer = self.call(StoreCall::Renew { lease, ttl }).await?;
        self.codec.decode_lease(Some(lease), answer)
    }

    /// Lists the keys that begin with `prefix`, in order.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::InvalidAnswer`].
    pub async fn list(&self, prefix: &Key) -> StoreResult<Vec<ListEntry>> {
        self.list_with_freshness(prefix, Freshness::Latest).await
    }

    /// Lists the keys that begin with `prefix`, in order, with the required `freshness`.
    ///
    /// # Errors
    ///
    /// As for [`list`](Self::list).
    pub async fn list_with_freshness(
        &self,
        prefix: &Key,
        freshness: Freshness,
    ) -> StoreResult<Vec<ListEntry>> {
        let mut entries: Vec<ListEntry> = Vec::new();
        loop {
            let call = StoreCall::List {
                prefix: prefix.clone(),
                after: entries.last().map(|entry| (*entry.key).into()),
                freshness,
            };
            let page = self.codec.decode_list(self.call(call).await?)?;
            let is_last = !page.more || page.entries.is_empty();
            entries.extend(page.entries);
            if is_last {
                return Ok(entries);
            }
        }
    }

    async fn put(
        &self,
        key: &Key,
        expected: Revision,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> StoreResult<CasOutcome> {
        if value.len() > VALUE_MAX_BYTES {
            return Err(Report::new(StoreError::ValueTooLarge));
        }
        let call = StoreCall::Put {
            key: key.clone(),
            expected,
            value,
            lease,
        };
        let answer = self.call(call).await?;
        self.codec.decode_put(answer)
    }

    async fn call(&self, call: StoreCall) -> StoreResult<WireAnswer> {
        let wait = match call {
            StoreCall::Watch { wait, .. } => wait,
            _ => Duration::ZERO,
        };
        if !call.is_valid_in(self.eras.current()) {
            return Err(Report::new(StoreError::EraChanged));
        }
        let wire = self.codec.encode(&call);
        let effect = call.effect();
        let kind = CallKind::from(&call);
        self.counts.begin(kind);
        let received = self.transport.call(wire, effect, wait).await;
        let received = received.inspect_err(|_| self.record_loss(kind))?;
        let era = self.eras.observe(self.codec.era(&received.headers));
        let Some(era) = era else {
            // The state that it describes is lost.
            let old = Report::new(effect.error_after_send());
            return Err(old.attach("answer of an earlier era"));
        };
        if !call.is_valid_in(era) {
            return Err(Report::new(StoreError::EraChanged));
        }
        Ok(WireAnswer {
            effect,
            era,
            status: received.status,
            headers: received.headers,
            body: received.body,
        })
    }

    fn record_loss(&self, kind: CallKind) {
        self.counts.fail(kind);
        if kind != CallKind::Watch {
            self.losses.send_replace(());
        }
    }
}
