//! Names of the headers that the system reads and writes.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Prefix of every header of the system.
const PREFIX: &str = "rhubarblanding-";

/// Idempotency key of a caller.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Identifier that a caller gives to one request and its repeats.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Opaque token of a request that runs at a backend server.
pub const TOKEN: HeaderName = HeaderName::from_static("rhubarblanding-token");
/// Time left until the deadline, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("rhubarblanding-deadline-ms");
/// Importance of the root request.
pub const IMPORTANCE: HeaderName = HeaderName::from_static("rhubarblanding-importance");
/// Identifier of the root request, in hexadecimal.
pub const ROOT: HeaderName = HeaderName::from_static("rhubarblanding-root");
/// Service that a call between nodes is meant for.
pub const SERVICE: HeaderName = HeaderName::from_static("rhubarblanding-service");
/// Retries lent to a call between nodes.
pub const ALLOWANCE: HeaderName = HeaderName::from_static("rhubarblanding-allowance");
/// Whether requests of this kind were seen to make downstream calls, `0` or `1`.
pub const MAKES_CALLS: HeaderName = HeaderName::from_static("rhubarblanding-makes-calls");
/// Retries that a call between nodes gives back.
pub const ALLOWANCE_LEFT: HeaderName = HeaderName::from_static("rhubarblanding-allowance-left");
/// Whether a call may run twice.
pub const IDEMPOTENCY: HeaderName = HeaderName::from_static("rhubarblanding-idempotency");
/// Version of the sender's document.
pub const DOCUMENT: HeaderName = HeaderName::from_static("rhubarblanding-document");
/// Peer address of the node that sends a call.
pub const FROM: HeaderName = HeaderName::from_static("rhubarblanding-from");
/// Version of the answering node's home table.
pub const TABLE: HeaderName = HeaderName::from_static("rhubarblanding-table");
/// Set on a keyed call that goes to the copy because the home cannot be reached.
pub const SUBSTITUTE: HeaderName = HeaderName::from_static("rhubarblanding-substitute");
/// Load of the target that answers.
pub const LOAD: HeaderName = HeaderName::from_static("rhubarblanding-load");
/// Error kind of an answer of the system itself.
pub const ERROR: HeaderName = HeaderName::from_static("rhubarblanding-error");
/// Whether a refused request ran.
pub const RUN_STATE: HeaderName = HeaderName::from_static("rhubarblanding-run-state");
/// When to come back, in milliseconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("rhubarblanding-retry-after-ms");

/// Headers that belong to one connection and are not passed on.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the headers of one connection, those that `connection` names included.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Removes the headers of the system, so that nobody outside can set them.
pub fn strip_system(headers: &mut HeaderMap) {
    let names: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(PREFIX))
        .cloned()
        .collect();
    for name in names {
        headers.remove(name);
    }
}

/// Header value of a number or another text of visible ASCII.
pub fn value(text: impl ToString) -> HeaderValue {
    HeaderValue::try_from(text.to_string()).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Reads a header as text and parses it; absent and malformed are both `None`.
pub fn parse<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
