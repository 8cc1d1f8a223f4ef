//! Accounts of one version of the configuration, and the keys that belong to them.

mod check;
mod digest;
mod raw;

use std::fmt;
use std::sync::Arc;

use rhubarblanding_core::prelude::*;

use crate::quota::Quota;

pub use digest::KeyDigest;
pub use raw::{AccountFinding, RawAccount, RawAccounts, RawUndecodedAccount};

/// Client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, as targets receive it.
    pub name: Arc<str>,
    /// Key for decisions.
    pub key: AccountKey,
    /// Urgency of its requests, which takes precedence over that of their routes.
    pub rank: Option<u8>,
    /// Limit of its requests over all nodes, `None` if there is none.
    pub quota: Option<Quota>,
}

/// What a configuration says of a credential.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Holder<'a> {
    /// The account that holds it.
    Account(&'a Account),
    /// An entry with a fault holds it, or may hold it.
    Faulty,
    /// No entry holds it.
    Nobody,
}

/// Accounts of one version of the configuration.
///
/// A fault in one entry takes only that entry out of use. Keys are secrets, which the type never
/// shows.
#[derive(Clone, Default, PartialEq)]
pub struct AccountDirectory {
    /// Valid accounts, ordered by their keys for decisions.
    accounts: Vec<Account>,
    /// Position of the account that holds a credential; `None` for those of faulty entries.
    holders: HashMap<Box<[u8]>, Option<usize>>,
    /// `true` if the credentials of some entry could not be decoded.
    has_unknown_keys: bool,
    /// `true` if the configuration names accounts, valid or not.
    is_required: bool,
}

impl AccountDirectory {
    /// Checks decoded accounts; returns those that are valid, and the faults of the others.
    ///
    /// Where an entry can be read in two ways, its keys are refused: a key of two accounts, and the
    /// keys of two entries with the same name.
    pub fn from_raw(raw: RawAccounts) -> (Self, Vec<AccountFinding>) {
        check::check(raw)
    }

    /// Returns `true` if requests need no key, as the configuration names no accounts.
    pub fn is_empty(&self) -> bool {
        !self.is_required
    }

    /// Returns all valid accounts.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    /// Returns what the configuration says of a credential.
    pub fn holder(&self, credential: &[u8]) -> Holder<'_> {
        match self.holders.get(credential) {
            Some(Some(position)) => Holder::Account(&self.accounts[*position]),
            Some(None) => Holder::Faulty,
            None if self.has_unknown_keys => Holder::Faulty,
            None => Holder::Nobody,
        }
    }

    /// Returns the account that holds a credential.
    pub fn find(&self, credential: &[u8]) -> Option<&Account> {
        match self.holder(credential) {
            Holder::Account(account) => Some(account),
            Holder::Faulty | Holder::Nobody => None,
        }
    }

    /// Returns the account with the key for decisions `key`.
    pub fn get(&self, key: AccountKey) -> Option<&Account> {
        let found = self.accounts.binary_search_by_key(&key, |a| a.key).ok()?;
        Some(&self.accounts[found])
    }
}

impl fmt::Debug for AccountDirectory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AccountDirectory")
            .field("accounts", &self.accounts)
            .field("keys", &self.holders.len())
            .finish_non_exhaustive()
    }
}
