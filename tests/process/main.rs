//! Failures of whole processes: nodes, backend servers, store and connections.
//!
//! The programs must be built first: `cargo build --workspace --bins`.

#![expect(clippy::unwrap_used, reason = "a failed step ends the test")]

mod at_most_once;
mod end_to_end;
mod leaving;
mod malformed;
mod mended;
mod one_connection;
mod operators;
mod retries;
mod settings;
mod shutdown;
mod silence;
mod store_outage;
mod support;
mod truthful;
mod whole_answers;
