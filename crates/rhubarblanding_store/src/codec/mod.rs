//! Wire formats of the key-value service: how calls are written and answers are read.
//!
//! [`NativeCodec`] is the project's own format. An adapter for another service implements
//! [`StoreCodec`].

mod body;
mod native;

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use http::{HeaderMap, Method, StatusCode};

use crate::error::StoreError;
use crate::key::Key;
use crate::value::{CasOutcome, Lease, LeaseId, ListPage, Revision, Versioned, WatchOutcome};

pub use native::NativeCodec;

/// Result of a call to the key-value service.
pub type StoreResult<T> = Result<T, Report<StoreError>>;

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads one key.
    Get {
        /// The key.
        key: Key,
    },
    /// Stores a value if the key is at a revision.
    Put {
        /// The key.
        key: Key,
        /// Revision that the key must have.
        expected: Revision,
        /// The value.
        value: Bytes,
        /// Lease that the value is bound to.
        lease: Option<LeaseId>,
    },
    /// Waits until a key has a newer revision.
    Watch {
        /// The key.
        key: Key,
        /// Revision known already.
        after: Revision,
        /// Longest wait at the service.
        wait: Duration,
    },
    /// Asks for a lease.
    Grant {
        /// Length asked for.
        ttl: Duration,
    },
    /// Extends a lease.
    Renew {
        /// The lease.
        lease: LeaseId,
        /// Length asked for.
        ttl: Duration,
    },
    /// Lists one page of the keys with a prefix.
    List {
        /// The prefix.
        prefix: Key,
        /// Last key of the page before.
        after: Option<Key>,
        /// How recent it has to be.
        freshness: Freshness,
    },
}

/// How recent the answer to a read has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It has every change that was acknowledged before.
    Latest,
    /// It may be some seconds old, which costs the service less.
    Relaxed,
}

/// Whether a call may change the service's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It only reads.
    Read,
    /// It may write.
    Write,
}

impl Effect {
    /// Failure of a call of which some byte may have reached the service.
    pub fn error_after_send(self) -> StoreError {
        match self {
            Self::Read => StoreError::Unavailable,
            Self::Write => StoreError::AnswerLost,
        }
    }

    /// Failure of a call whose answer is not understood.
    pub fn error_on_invalid_answer(self) -> StoreError {
        match self {
            Self::Read => StoreError::InvalidAnswer,
            Self::Write => StoreError::AnswerLost,
        }
    }
}

impl StoreCall {
    /// Whether the call may change the service's state.
    pub fn effect(&self) -> Effect {
        match self {
            Self::Get { .. } | Self::Watch { .. } | Self::List { .. } => Effect::Read,
            Self::Put { .. } | Self::Grant { .. } | Self::Renew { .. } => Effect::Write,
        }
    }
}

/// A call as it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Media type of the body, if it has one.
    pub content_type: Option<&'static str>,
    /// Body.
    pub body: Bytes,
}

/// A whole answer as it was received.
#[derive(Clone, Debug)]
pub struct WireAnswer {
    /// Whether the call may have changed the service's state.
    pub effect: Effect,
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl WireAnswer {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// [`StoreError::InvalidAnswer`] for reads, [`StoreError::AnswerLost`] for writes.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> StoreResult<T> {
        use error_stack::ResultExt;
        serde_json::from_slice(&self.body).change_context(self.effect.error_on_invalid_answer())
    }

    /// Failure for a status that the call does not provide for.
    pub fn unexpected_status(&self) -> Report<StoreError> {
        let error = match self.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                StoreError::Unavailable
            }
            status if status.is_client_error() => StoreError::InvalidAnswer,
            _ => self.effect.error_on_invalid_answer(),
        };
        Report::new(error).attach(format!("status {}", self.status))
    }
}

/// Wire format of one kind of key-value service.
pub trait StoreCodec: Debug + Send + Sync {
    /// Writes a call.
    fn encode(&self, call: &StoreCall) -> WireCall;

    /// Reads the answer to [`StoreCall::Get`].
    ///
    /// # Errors
    ///
    /// As for [`StoreClient::get`](crate::StoreClient::get).
    fn decode_get(&self, answer: WireAnswer) -> StoreResult<Option<Versioned>>;

    /// Reads the answer to [`StoreCall::Put`].
    ///
    /// # Errors
    ///
    /// As for [`StoreClient::compare_and_swap`](crate::StoreClient::compare_and_swap).
    fn decode_put(&self, answer: WireAnswer) -> StoreResult<CasOutcome>;

    /// Reads the answer to [`StoreCall::Watch`] for `key`.
    ///
    /// # Errors
    ///
    /// As for [`StoreClient::watch`](crate::StoreClient::watch).
    fn decode_watch(&self, key: &Key, answer: WireAnswer) -> StoreResult<WatchOutcome>;

    /// Reads the answer to [`StoreCall::Grant`] or [`StoreCall::Renew`]; `renewed` is the lease
    /// of a renewal.
    ///
    /// # Errors
    ///
    /// As for [`StoreClient::grant_lease`](crate::StoreClient::grant_lease).
    fn decode_lease(&self, renewed: Option<LeaseId>, answer: WireAnswer) -> StoreResult<Lease>;

    /// Reads the answer to [`StoreCall::List`].
    ///
    /// # Errors
    ///
    /// As for [`StoreClient::list`](crate::StoreClient::list).
    fn decode_list(&self, answer: WireAnswer) -> StoreResult<ListPage>;
}
