//! Single calls to the key-value service.

mod answer;
mod transport;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use http::{Method, StatusCode};

use crate::error::StoreError;
use crate::key::Key;
use crate::value::{
    CasOutcome, Lease, LeaseId, ListEntry, Revision, VALUE_MAX_BYTES, Versioned, Watched,
};
use answer::{GrantBody, LeaseBody, ListBody, RevisionBody};
use transport::{Answer, Effect, Transport};

/// Result of a call to the key-value service.
pub type StoreResult<T> = Result<T, Report<StoreError>>;

/// Settings of a [`StoreClient`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// Address of the service.
    pub addr: SocketAddr,
    /// Time after which a call counts as failed; a watch is given its wait on top.
    pub call_timeout: Duration,
    /// Time after which opening a connection counts as failed.
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

/// Client with pooled connections; clones share the pool.
#[derive(Clone, Debug)]
pub struct StoreClient {
    transport: Transport,
}

impl StoreClient {
    /// Creates a client. No connection is opened before the first call.
    pub fn new(settings: StoreSettings) -> Self {
        Self {
            transport: Transport::new(settings),
        }
    }

    /// Reads the value of `key`, `None` if it has none.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::InvalidAnswer`].
    pub async fn get(&self, key: &Key) -> StoreResult<Option<Versioned>> {
        let answer = self.read(&format!("/v1/kv/{key}")).await?;
        match answer.status {
            StatusCode::OK => answer.versioned().map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(answer.unexpected(Effect::Read)),
        }
    }

    /// Stores `value` under `key` if the key is at revision `expected`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] if it was certainly not stored, [`StoreError::AnswerLost`] if
    /// it may have been stored or may be stored later, [`StoreError::ValueTooLarge`].
    pub async fn compare_and_swap(
        &self,
        key: &Key,
        expected: Revision,
        value: Bytes,
    ) -> StoreResult<CasOutcome> {
        self.put(format!("/v1/kv/{key}?expected={expected}"), value)
            .await
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
        let path = format!("/v1/kv/{key}?expected={expected}&lease={}", lease.0);
        self.put(path, value).await
    }

    /// Waits up to `wait` until `key` has a revision above `after`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::InvalidAnswer`].
    pub async fn watch(&self, key: &Key, after: Revision, wait: Duration) -> StoreResult<Watched> {
        let millis = wait.as_millis();
        let path = format!("/v1/watch/{key}?after={after}&wait_ms={millis}");
        let answer = self
            .transport
            .call(Method::GET, &path, Bytes::new(), Effect::Read, wait)
            .await?;
        match answer.status {
            StatusCode::OK => answer.versioned().map(Watched::Changed),
            StatusCode::NOT_FOUND => answer.revision().map(Watched::Removed),
            StatusCode::NO_CONTENT => Ok(Watched::Unchanged),
            _ => Err(answer.unexpected(Effect::Read)),
        }
    }

    /// Asks for a new lease of length `ttl`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`], or [`StoreError::AnswerLost`], after which a lease may exist
    /// that nobody holds; it lapses by itself.
    pub async fn grant_lease(&self, ttl: Duration) -> StoreResult<Lease> {
        self.lease(None, ttl).await
    }

    /// Extends `lease` to `ttl` from now.
    ///
    /// # Errors
    ///
    /// As for [`grant_lease`](Self::grant_lease), and [`StoreError::LeaseLapsed`].
    pub async fn renew_lease(&self, lease: LeaseId, ttl: Duration) -> StoreResult<Lease> {
        self.lease(Some(lease), ttl).await
    }

    /// Lists the keys that begin with `prefix`, in order.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] or [`StoreError::InvalidAnswer`].
    pub async fn list(&self, prefix: &Key) -> StoreResult<Vec<ListEntry>> {
        let answer = self.read(&format!("/v1/list?prefix={prefix}")).await?;
        if answer.status != StatusCode::OK {
            return Err(answer.unexpected(Effect::Read));
        }
        let body: ListBody = answer.json(Effect::Read)?;
        Ok(body.entries)
    }

    async fn read(&self, path: &str) -> StoreResult<Answer> {
        self.transport
            .call(
                Method::GET,
                path,
                Bytes::new(),
                Effect::Read,
                Duration::ZERO,
            )
            .await
    }

    async fn put(&self, path: String, value: Bytes) -> StoreResult<CasOutcome> {
        if value.len() > VALUE_MAX_BYTES {
            return Err(Report::new(StoreError::ValueTooLarge));
        }
        let answer = self
            .transport
            .call(Method::PUT, &path, value, Effect::Write, Duration::ZERO)
            .await?;
        let revision = |answer: &Answer| {
            answer
                .json::<RevisionBody>(Effect::Write)
                .map(|body| body.revision)
        };
        match answer.status {
            StatusCode::OK => revision(&answer).map(CasOutcome::Stored),
            StatusCode::CONFLICT => revision(&answer).map(CasOutcome::Conflict),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Report::new(StoreError::ValueTooLarge)),
            StatusCode::GONE => Err(Report::new(StoreError::LeaseLapsed)),
            _ => Err(answer.unexpected(Effect::Write)),
        }
    }

    async fn lease(&self, lease: Option<LeaseId>, ttl: Duration) -> StoreResult<Lease> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let body = LeaseBody { lease, ttl_ms }.to_bytes();
        let answer = self
            .transport
            .call(
                Method::POST,
                "/v1/lease",
                body,
                Effect::Write,
                Duration::ZERO,
            )
            .await?;
        match answer.status {
            StatusCode::OK => answer.json(Effect::Write).map(GrantBody::into_lease),
            StatusCode::GONE => Err(Report::new(StoreError::LeaseLapsed)),
            _ => Err(answer.unexpected(Effect::Write)),
        }
    }
}
