//! Rendezvous hashing of keys over the members of an epoch.

use std::cmp::Reverse;
use std::net::IpAddr;

use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::ids::{HostId, IdempotencyKey, TableVersion};
use serde::{Deserialize, Serialize};

use super::{Epoch, HomeTable, Member, MemberId};

/// The members that decide on one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Epoch that holds the key's mint time.
    pub epoch: TableVersion,
    /// Member that runs the key at its own backend server.
    pub home: MemberId,
    /// Member that acknowledges the key before the home dispatches it. A single member has none.
    pub copy: Option<MemberId>,
}

/// Length of the bytes that name a host: an IPv6 or mapped IPv4 address and a port.
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

/// Rank of a member for a key. Every node must compute the same value, in every release.
fn weight(member: &Member, key: IdempotencyKey) -> u64 {
    let seed = stable_hash(0, &host_bytes(member.id.host));
    stable_hash(seed, key.as_bytes())
}

impl Epoch {
    /// Members in descending order of their rank for a key.
    pub fn ranked(&self, key: IdempotencyKey) -> Vec<&Member> {
        let mut members: Vec<&Member> = self.members.iter().collect();
        members.sort_by_cached_key(|member| Reverse((weight(member, key), member.id)));
        members
    }

    /// Home and copy of a key of this epoch.
    pub fn place(&self, key: IdempotencyKey) -> Option<Placement> {
        let rank = |member: &&Member| (weight(member, key), member.id);
        let home = self.members.iter().max_by_key(rank)?;
        let others = self.members.iter();
        let copy = others
            .filter(|member| self.can_pair(home, member))
            .max_by_key(rank);
        Some(Placement {
            epoch: self.version,
            home: home.id,
            copy: copy.map(|member| member.id),
        })
    }
}

impl HomeTable {
    /// Home and copy of a key by the active epochs.
    ///
    /// It is `None` for keys minted before the oldest epoch that the table still holds.
    pub fn place(&self, key: IdempotencyKey) -> Option<Placement> {
        self.active_epoch_at(key.minted_at())?.place(key)
    }
}
