//! Downstream calls of a request, identified by a digest.

use rhubarblanding_core::collections::stable_hash;

/// Digest of a downstream call: method, service, path and key or body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallDigest(pub u64);

impl CallDigest {
    /// Computes the digest over the parts of a call.
    ///
    /// `distinct` is the idempotency key if the call has one, else the body or its digest.
    pub fn of(method: &str, service: &str, path: &str, distinct: &[u8]) -> Self {
        let parts = [
            method.as_bytes(),
            service.as_bytes(),
            path.as_bytes(),
            distinct,
        ];
        // Each part is hashed with the digest of the previous parts as the seed, so that moving a
        // byte from one part to the next changes the result.
        Self(parts.iter().fold(0, |seed, part| stable_hash(seed, part)))
    }
}

/// Result of recording a downstream call that a backend server starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStart {
    /// The request makes this call for the first time.
    First,
    /// The call is a repeat and was charged as one retry.
    Repeat,
    /// The call is a repeat and no retry is left, or the request has made too many calls.
    Refused,
}
