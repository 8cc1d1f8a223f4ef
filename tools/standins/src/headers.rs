//! Names of the header fields that callers, nodes and backend servers exchange.

/// Identifier that the caller gives to its request.
pub const REQUEST_ID: &str = "x-request-id";
/// Idempotency key of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Time in milliseconds that remains until the deadline.
pub const DEADLINE_MS: &str = "rhubarblanding-deadline-ms";
/// Opaque token that a backend server copies to its downstream calls.
pub const TOKEN: &str = "rhubarblanding-token";
/// Error kind of an answer made by the system.
pub const ERROR: &str = "rhubarblanding-error";
/// Whether the request ran.
pub const RUN_STATE: &str = "rhubarblanding-run-state";
/// Time in milliseconds after which the caller may come back.
pub const RETRY_AFTER_MS: &str = "rhubarblanding-retry-after-ms";
/// Time in seconds after which the caller may come back.
pub const RETRY_AFTER: &str = "retry-after";
