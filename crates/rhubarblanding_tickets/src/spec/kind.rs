//! Kinds of request.

use std::time::Duration;

use rhubarblanding_core::importance::{Idempotency, Importance};
use rhubarblanding_core::names::KindName;

use super::pattern::{MethodPattern, PathPattern};

/// Limits of a kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindLimits {
    /// Maximum number of retries over the whole call tree of a root request.
    pub retry_allowance: u32,
    /// Default deadline of a request whose caller sets none.
    pub deadline: Duration,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Maximum size in bytes of an answer that is kept for repeats of its idempotency key.
    pub max_kept_answer_bytes: u64,
}

impl Default for KindLimits {
    fn default() -> Self {
        Self {
            retry_allowance: 3,
            deadline: Duration::from_secs(10),
            max_body_bytes: 1 << 20,
            max_kept_answer_bytes: 64 << 10,
        }
    }
}

/// One kind of request of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KindSpec {
    /// Name within the service.
    pub name: KindName,
    /// Methods of this kind.
    pub method: MethodPattern,
    /// Paths of this kind.
    pub path: PathPattern,
    /// Importance of a request.
    pub importance: Importance,
    /// Weight of one complete request in goodput.
    pub weight: u32,
    /// Idempotency, which determines if a request may be retried.
    pub idempotency: Idempotency,
    /// Limits of a request.
    pub limits: KindLimits,
}

impl KindSpec {
    /// Name of the kind of `GET` and `HEAD` requests that match no kind.
    pub const DEFAULT_READ: &'static str = "default-read";
    /// Name of the kind of other requests that match no kind.
    pub const DEFAULT_WRITE: &'static str = "default-write";
    /// Weight of a kind that sets none.
    pub const DEFAULT_WEIGHT: u32 = 1;

    pub(super) fn default_read() -> Self {
        Self::unmatched(Self::DEFAULT_READ, Idempotency::Idempotent)
    }

    pub(super) fn default_write() -> Self {
        Self::unmatched(Self::DEFAULT_WRITE, Idempotency::NonIdempotent)
    }

    fn unmatched(name: &'static str, idempotency: Idempotency) -> Self {
        Self {
            name: literal_name(name),
            method: MethodPattern::Any,
            path: PathPattern::any(),
            importance: Importance::Normal,
            weight: Self::DEFAULT_WEIGHT,
            idempotency,
            limits: KindLimits::default(),
        }
    }
}

/// Converts a literal of this module to a name.
fn literal_name(name: &'static str) -> KindName {
    match KindName::try_from(name) {
        Ok(name) => name,
        Err(e) => unreachable!("`{name}` {e}"),
    }
}
