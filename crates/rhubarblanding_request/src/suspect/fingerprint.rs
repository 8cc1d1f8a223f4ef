//! Identity of a request's content, the same at each attempt and on each node.

use std::fmt;

use rhubarblanding_core::collections::stable_hash;
use serde::{Deserialize, Serialize};

/// Parts of a request that a repeat has in common with it.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Method.
    pub method: &'a str,
    /// Host name that the client asked for.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Service on the host at which the request entered.
    pub caller: &'a [u8],
    /// Body.
    pub body: &'a [u8],
}

/// Hash of a request's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl From<RequestContent<'_>> for Fingerprint {
    fn from(content: RequestContent<'_>) -> Self {
        let parts = [
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.path.as_bytes(),
            content.caller,
            content.body,
        ];
        // The hash of each part seeds that of the next, so that no boundary can be shifted.
        Self(parts.into_iter().fold(0, stable_hash))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Crash of one instance of a backend server, which happens at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(pub u64);
