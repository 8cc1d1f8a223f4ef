//! Requests of this node that other nodes hold.

use http::HeaderValue;
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::process::parking::{Mutex, lock};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a request that another node holds.
    struct HopKey;
}

#[derive(Debug)]
struct OpenHop {
    host: HostId,
    request_id: HeaderValue,
}

/// Requests that were sent to other nodes and have no answer yet.
#[derive(Debug, Default)]
pub struct OpenHops(Mutex<SlotMap<HopKey, OpenHop>>);

/// Counts a request as held by another node until it is dropped.
#[derive(Debug)]
pub struct HopGuard<'a> {
    hops: &'a OpenHops,
    key: HopKey,
}

impl OpenHops {
    /// Records that a request is sent to the node on `host`.
    pub fn begin(&self, host: HostId, request_id: HeaderValue) -> HopGuard<'_> {
        let key = lock(&self.0).insert(OpenHop { host, request_id });
        HopGuard { hops: self, key }
    }

    /// Returns the identifiers of the requests that each node holds.
    pub fn by_host(&self) -> HashMap<HostId, Vec<String>> {
        let mut by_host: HashMap<HostId, Vec<String>> = HashMap::default();
        for hop in lock(&self.0).values() {
            if let Ok(id) = hop.request_id.to_str() {
                by_host.entry(hop.host).or_default().push(id.to_owned());
            }
        }
        by_host
    }

    /// Returns the number of requests that other nodes hold.
    pub fn len(&self) -> usize {
        lock(&self.0).len()
    }

    /// Returns `true` if no other node holds a request.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Drop for HopGuard<'_> {
    fn drop(&mut self) {
        lock(&self.hops.0).remove(self.key);
    }
}
