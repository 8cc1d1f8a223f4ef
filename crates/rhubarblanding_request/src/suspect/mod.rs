//! Requests that may crash the backend servers that run them.
//!
//! A [`SuspectTable`] counts, for the content of each request, the crashes of backend servers during
//! which it ran. A request that is completed once is cleared: one that crashes its server never is. What was completed lately by the same
//! server ([`CompletedRequests`]) is not counted at all.
//! Tables of several nodes are merged in any order, any number of times.

mod completed;
mod fingerprint;
mod table;

pub use completed::CompletedRequests;
pub use fingerprint::{CrashId, Fingerprint, RequestContent};
pub use table::{CrashRecord, SuspectRecord, SuspectSettings, SuspectTable, SuspectVerdict};
