//! Identifiers of hosts, requests, keys and versions.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::collections::stable_hash;
use crate::time::UnixMillis;

/// Host of a backend server, identified by the peer address of its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostId(pub SocketAddr);

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Generation number of a node: a restarted or replaced node gets a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identifier of a root request, shared by all calls of its chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RootId(pub u64);

impl fmt::Display for RootId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Version of the operators' document in the platform's service.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DocVersion(pub u64);

/// Number of a change ticket.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TicketNumber(pub u64);

/// Version of a service's home table, which assigns idempotency keys to nodes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TableVersion(pub u64);

/// Client account of a request, as a small key for decisions.
///
/// It is derived from the account's name, so that all nodes use the same key without agreeing on it.
/// The default is the key of requests without an account.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AccountKey(pub u64);

impl AccountKey {
    /// Key of requests without an account.
    pub const NONE: Self = Self(0);

    /// Returns the key of the account called `name`.
    pub fn of(name: &str) -> Self {
        Self(stable_hash(0, name.as_bytes()).max(1))
    }
}

impl fmt::Display for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Reason for which a text is not an [`IdempotencyKey`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidKey {
    /// The text is not a UUID.
    NotUuid,
    /// The UUID is not of version 7, so it does not contain the time of its creation.
    NotVersion7,
}

impl fmt::Display for InvalidKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotUuid => "idempotency-key: must be a UUID of version 7",
            Self::NotVersion7 => "idempotency-key: the UUID must be of version 7",
        })
    }
}

impl std::error::Error for InvalidKey {}

/// Idempotency key chosen by a caller: a UUID of version 7.
///
/// The creation time is part of the key, so that it is the same in every retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Uuid", into = "Uuid")]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Number of low bits of a version 7 UUID below its time stamp.
    const BITS_BELOW_TIME: u32 = 80;

    /// Creates a key with the time stamp `now`; `random` fills the remaining bits.
    pub fn mint(now: UnixMillis, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(now.0, &random).into_uuid())
    }

    /// Returns the time at which the caller created the key, by the caller's clock.
    pub fn minted_at(self) -> UnixMillis {
        UnixMillis((self.0.as_u128() >> Self::BITS_BELOW_TIME) as u64)
    }

    /// Returns the 16 bytes of the key.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }
}

impl TryFrom<Uuid> for IdempotencyKey {
    type Error = InvalidKey;

    fn try_from(raw: Uuid) -> Result<Self, Self::Error> {
        match raw.get_version_num() {
            7 => Ok(Self(raw)),
            _ => Err(InvalidKey::NotVersion7),
        }
    }
}

impl TryFrom<&str> for IdempotencyKey {
    type Error = InvalidKey;

    fn try_from(raw: &str) -> Result<Self, Self::Error> {
        Uuid::try_parse(raw)
            .map_err(|_| InvalidKey::NotUuid)
            .and_then(Self::try_from)
    }
}

impl From<IdempotencyKey> for Uuid {
    fn from(key: IdempotencyKey) -> Self {
        key.0
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
