//! Digests of keys, for output in which the keys themselves must not appear.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::prelude::*;

use super::AccountDirectory;

/// Digest of a key; too short to reveal it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(u32);

impl KeyDigest {
    fn of(key: &[u8]) -> Self {
        Self(stable_hash(0, key) as u32)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl AccountDirectory {
    /// Returns the digests of the keys that each valid account holds.
    pub fn key_digests(&self) -> BTreeMap<AccountKey, BTreeSet<KeyDigest>> {
        let none = |account: &super::Account| (account.key, BTreeSet::new());
        let mut digests: BTreeMap<_, _> = self.accounts.iter().map(none).collect();
        for (key, holder) in &self.holders {
            let account = holder.map(|position| self.accounts[position].key);
            let held = account.and_then(|account| digests.get_mut(&account));
            if let Some(held) = held {
                held.insert(KeyDigest::of(key));
            }
        }
        digests
    }
}
