//! Decoded accounts, not yet validated. None of these types shows a key.

use std::fmt;

/// Decoded account.
#[derive(Clone, Default, PartialEq)]
pub struct RawAccount {
    /// Name.
    pub name: String,
    /// Keys; secrets, never written to a log or an error.
    pub keys: Vec<String>,
    /// Urgency of its requests, which takes precedence over that of their routes.
    pub rank: Option<u64>,
    /// Sustained number of requests per second, 0 if it is not limited.
    pub rate_per_s: f64,
    /// Requests that it may send at once beyond the sustained rate.
    pub burst: f64,
}

impl fmt::Debug for RawAccount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RawAccount")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .finish_non_exhaustive()
    }
}

/// Account that could not be decoded.
#[derive(Clone, Default, PartialEq)]
pub struct RawUndecodedAccount {
    /// Position among all accounts of the configuration.
    pub position: usize,
    /// Keys, if all of them could be decoded.
    pub keys: Option<Vec<String>>,
}

/// Decoded accounts of a configuration.
#[derive(Clone, Default, PartialEq)]
pub struct RawAccounts {
    /// Accounts, in the order of the configuration.
    pub decoded: Vec<RawAccount>,
    /// Accounts that could not be decoded.
    pub undecoded: Vec<RawUndecodedAccount>,
}

impl From<Vec<RawAccount>> for RawAccounts {
    fn from(decoded: Vec<RawAccount>) -> Self {
        Self {
            decoded,
            undecoded: Vec::new(),
        }
    }
}

/// Fault in one entry; it never holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountFinding {
    /// Path of the invalid field, for example `[2].name`.
    pub field: String,
    /// Description of the fault.
    pub reason: &'static str,
}
