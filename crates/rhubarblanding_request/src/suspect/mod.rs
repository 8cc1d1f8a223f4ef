//! Identity of requests that may crash the backend servers that run them.

mod fingerprint;

pub use fingerprint::{CrashId, Fingerprint, RequestContent};
