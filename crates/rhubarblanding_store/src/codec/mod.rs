//! Wire formats of the key-value service: encoding of calls and decoding of answers.
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

use strum::{EnumCount, EnumDiscriminants, EnumIter, IntoStaticStr};

use crate::error::StoreError;
use crate::key::Key;
use crate::value::{CasOutcome, Era, Lease, LeaseId, ListPage, Revision, Versioned, WatchOutcome};

pub use native::NativeCodec;

/// Result of a call to the key-value service.
pub type StoreResult<T> = Result<T, Report<StoreError>>;

/// Call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, EnumDiscriminants)]
#[strum_discriminants(
    name(CallKind),
    doc = "Kind of a call to the key-value service.",
    derive(EnumCount, EnumIter, IntoStaticStr),
    strum(serialize_all = "snake_case")
)]
pub enum StoreCall {
    /// Reads one key.
    Get {
        /// The key.
        key: Key,
    },
    /// Stores a value if the key is at the expected revision.
    Put {
        /// The key.
        key: Key,
        /// Required revision of the key.
        expected: Revision,
        /// The value.
        value: Bytes,
        /// Lease to bind the value to.
        lease: Option<LeaseId>,
    },
    /// Waits until a key has a newer revision.
    Watch {
        /// The key.
        key: Key,
        /// Newest revision that is already known.
        after: Revision,
        /// Maximum wait at the service.
        wait: Duration,
    },
    /// Requests a lease.
    Grant {
        /// Requested length.
        ttl: Duration,
    },
    /// Extends a lease.
    Renew {
        /// The lease.
        lease: LeaseId,
        /// Requested length.
        ttl: Duration,
    },
    /// Lists one page of the keys with a prefix.
    List {
        /// The prefix.
        prefix: Key,
        /// Last key of the previous page. Another writer may have chosen it, so that it is no valid
        /// [`Key`].
        after: Option<Box<str>>,
        /// Required freshness.
        freshness: Freshness,
    },
}

/// Required freshness of the answer to a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The answer includes every change that was acknowledged before the call.
    Latest,
    /// The answer may be some seconds old, which costs the service less.
    Relaxed,
}

/// Effect of a call on the service's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call only reads.
    Read,
    /// The call may write.
    Write,
}

impl Effect {
    /// Returns the error of a failed call of which some byte may have reached the service.
    pub fn error_after_send(self) -> StoreError {
        match self {
            Self::Read => StoreError::Unavailable,
            Self::Write => StoreError::AnswerLost,
        }
    }

    /// Returns the error of a call whose answer is invalid.
    pub fn error_on_invalid_answer(self) -> StoreError {
        match self {
            Self::Read => StoreError::InvalidAnswer,
            Self::Write => StoreError::AnswerLost,
        }
    }
}

impl StoreCall {
    /// Returns `true` if the revision and the lease of the call are valid in `era`.
    pub fn is_valid_in(&self, era: Era) -> bool {
        let (revision, lease) = match self {
            Self::Get { .. } | Self::Grant { .. } | Self::List { .. } => return true,
            Self::Put {
                expected, lease, ..
            } => (*expected, *lease),
            Self::Watch { after, .. } => (*after, None),
            Self::Renew { lease, .. } => (Revision::ABSENT, Some(*lease)),
        };
        revision.era().is_none_or(|of| of == era) && lease.is_none_or(|lease| lease.era() == era)
    }

    /// Returns the effect of the call on the service's state.
    pub fn effect(&self) -> Effect {
        match self {
            Self::Get { .. } | Self::Watch { .. } | Self::List { .. } => Effect::Read,
            Self::Put { .. } | Self::Grant { .. } | Self::Renew { .. } => Effect::Write,
        }
    }
}

/// Encoded call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Media type of the body, if it has one.
    pub content_type: Option<&'static str>,
    /// Body.
    pub body: Bytes,
}

/// Complete answer before decoding.
#[derive(Clone, Debug)]
pub struct WireAnswer {
    /// Effect of the call on the service's state.
    pub effect: Effect,
    /// Era of the service.
    pub era: Era,
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Reads an era from the header `name`.
pub fn era_header(headers: &HeaderMap, name: &str) -> Option<Era> {
    headers
        .get(name)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
        .map(Era)
}

impl WireAnswer {
    /// Returns the revision that the answer calls `number`.
    pub fn revision(&self, number: u64) -> Revision {
        match number {
            0 => Revision::ABSENT,
            number => Revision::new(self.era, number),
        }
    }

    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// [`StoreError::InvalidAnswer`] for reads, [`StoreError::AnswerLost`] for writes.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> StoreResult<T> {
        use error_stack::ResultExt;
        serde_json::from_slice(&self.body).change_context(self.effect.error_on_invalid_answer())
    }

    /// Returns the error for a status that is not expected for the call.
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
    /// Returns the era that the headers of an answer report, `None` if they report none.
    fn era(&self, headers: &HeaderMap) -> Option<Era>;

    /// Encodes a call.
    fn encode(&self, call: &StoreCall) -> WireCall;

    /// Decodes the answer to [`StoreCall::Get`].
    ///
    /// # Errors
    ///
    /// As for [`StoreClient::get`](crate::StoreClient::get).
    fn decode_get(&self, answer: WireAnswer) -> StoreResult<Option<Versioned>>;

    /// Decodes the answer to [`StoreCall::Put`].
    ///
    /// # Errors
    ///
    /// As for [`StoreClient::compare_and_swap`](crate::StoreClient::compare_and_swap).
    fn decode_put(&self, answer: WireAnswer) -> StoreResult<CasOutcome>;

    /// Decodes the answer to [`StoreCall::Watch`] for `key`.
    ///
    /// # Errors
    ///
    /// As for [`StoreClient::watch`](crate::StoreClient::watch).
    fn decode_watch(&self, key: &Key, answer: WireAnswer) -> StoreResult<WatchOutcome>;

    /// Decodes the answer to [`StoreCall::Grant`] or [`StoreCall::Renew`]; `renewed` is the lease
    /// of a renewal.
    ///
    /// # Errors
    ///
    /// As for [`StoreClient::grant_lease`](crate::StoreClient::grant_lease).
    fn decode_lease(&self, renewed: Option<LeaseId>, answer: WireAnswer) -> StoreResult<Lease>;

    /// Decodes the answer to [`StoreCall::List`].
    ///
    /// # Errors
    ///
    /// As for [`StoreClient::list`](crate::StoreClient::list).
    fn decode_list(&self, answer: WireAnswer) -> StoreResult<ListPage>;
}
