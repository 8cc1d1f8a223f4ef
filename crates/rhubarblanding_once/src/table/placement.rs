//! Rendezvous hashing of keys over the members of an epoch.

use std::net::IpAddr;

use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::ids::{HostId, IdempotencyKey, TableVersion};
use serde::{Deserialize, Serialize};

use super::{Epoch, HomeTable, Member, MemberId};

/// The members that decide on one key.
///
/// Only home and copy run it, and only with the vote of one of the other two. Each of the three
/// votes for at most one of them, so that two runs would need two majorities without a common
/// member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Epoch that holds the key's mint time.
    pub epoch: TableVersion,
    /// Member that runs the key at its own backend server.
    pub home: MemberId,
    /// Member that votes for the home, or runs the key if the home cannot be reached. An epoch
    /// with one member has none.
    pub copy: Option<MemberId>,
    /// Member that votes if home or copy cannot be reached. An epoch with two members has none.
    pub witness: Option<MemberId>,
}

/// Length in bytes of an encoded host: an IPv6 or mapped IPv4 address and a port.
const HOST_BYTES: usize = 18;

fn host_bytes(host: HostId) -> [u8; HOST_BYTES] {
    let address = match host.0.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut buf = [0; HOST_BYTES];
    buf[..16].copy_from_slice(&address.octets());
    buf[16..].copy_from_slice(&host.0.port().to_be_bytes());
    buf
}

/// Rendezvous weight of a member for a key. Every node must compute the same value, in every
/// release.
fn weight(member: &Member, key: IdempotencyKey) -> u64 {
    let seed = stable_hash(0, &host_bytes(member.id.host));
    stable_hash(seed, key.as_bytes())
}

impl Epoch {
    /// Returns home, copy and witness of a key of this epoch, by rendezvous hashing.
    pub fn place(&self, key: IdempotencyKey) -> Option<Placement> {
        let weights = self
            .members
            .iter()
            .map(|member| (weight(member, key), member));
        let weighted: Vec<(u64, &Member)> = weights.collect();
        let best = |allowed: &dyn Fn(&Member) -> bool| {
            let candidates = weighted.iter().filter(|(_, member)| allowed(member));
            candidates.max().map(|(_, member)| *member)
        };
        let home = best(&|_| true)?;
        let copy = best(&|member| self.can_pair(home, member));
        let witness = copy.and_then(|copy| {
            let is_other = |member: &Member| member.id != home.id && member.id != copy.id;
            let pairs =
                |member: &Member| self.can_pair(home, member) && self.can_pair(copy, member);
            best(&pairs).or_else(|| best(&is_other))
        });
        Some(Placement {
            epoch: self.version,
            home: home.id,
            copy: copy.map(|member| member.id),
            witness: witness.map(|member| member.id),
        })
    }
}

impl HomeTable {
    /// Returns home, copy and witness of a key by the active epochs.
    ///
    /// Returns `None` for keys minted before the oldest epoch that the table still holds.
    pub fn place(&self, key: IdempotencyKey) -> Option<Placement> {
        self.active_epoch_at(key.minted_at())?.place(key)
    }
}
