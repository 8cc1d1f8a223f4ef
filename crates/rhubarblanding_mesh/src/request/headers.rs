//! Removal of hop-by-hop headers.

use http::header::HeaderMap;
use rhubarblanding_node::request::headers::strip_hop_by_hop;

/// Header that old clients send to proxies in place of `connection`.
const PROXY_CONNECTION: &str = "proxy-connection";

/// Removes the headers that concern one connection only.
pub(super) fn strip_connection_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(PROXY_CONNECTION);
}
