//! Content of a request, by which a repeat of it is known.

use http::{HeaderMap, Method, Uri};
use rhubarblanding_request::suspect::{Fingerprint, RequestContent};

use crate::process::Shared;

/// Returns the fingerprint of a request as it is sent to its target.
pub(super) fn fingerprint(
    node: &Shared,
    (method, uri, host): (&Method, &Uri, &str),
    headers: &HeaderMap,
    body: &[u8],
) -> Fingerprint {
    let caller = headers.get(&node.protocol.headers().caller_service);
    Fingerprint::from(RequestContent {
        method: method.as_str(),
        host,
        path: uri.path_and_query().map_or("", |path| path.as_str()),
        caller: caller.map_or(&[], |caller| caller.as_bytes()),
        body,
    })
}
