//! Headers that concern one connection only.

use http::header::HeaderMap;
use rhubarblanding_node::request::headers::strip_hop_by_hop;

/// Sent by old clients to proxies in place of `connection`.
const PROXY_CONNECTION: &str = "proxy-connection";

/// Removes what concerns one connection only.
pub(super) fn strip_connection(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(PROXY_CONNECTION);
}
