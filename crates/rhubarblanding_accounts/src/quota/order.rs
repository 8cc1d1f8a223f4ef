//! Rendezvous hashing of accounts over the nodes.

use std::net::IpAddr;

use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::prelude::*;

/// Number of nodes that may stand in for each other as the home of an account. With more than half
/// of the nodes gone, one of them is still there in most cases.
const CANDIDATES: usize = 5;

fn weight(host: HostId, account: AccountKey) -> u64 {
    let address = match host.0.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let seed = stable_hash(u64::from(host.0.port()), &address.octets());
    stable_hash(seed, &account.0.to_be_bytes())
}

/// Returns the home of an account and its deputies, in the order in which they stand in.
pub fn candidates(account: AccountKey, members: &[HostId]) -> Vec<HostId> {
    let mut best: Vec<(u64, HostId)> = Vec::with_capacity(CANDIDATES + 1);
    for host in members {
        let entry = (weight(*host, account), *host);
        let at = best.partition_point(|other| *other > entry);
        if at < CANDIDATES {
            best.insert(at, entry);
            best.truncate(CANDIDATES);
        }
    }
    best.into_iter().map(|(_, host)| host).collect()
}
