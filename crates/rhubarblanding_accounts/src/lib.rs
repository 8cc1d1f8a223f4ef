//! Client accounts: which account a key belongs to, whether a node's knowledge of the keys is fresh
//! enough to admit requests with them, and how many requests an account may send through all nodes.
//!
//! All parts are state machines without input and output; times and random numbers are passed in.

pub mod directory;
pub mod freshness;
pub mod quota;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::directory::{Account, AccountDirectory, Holder, RawAccount, RawAccounts};
    pub use crate::freshness::{Freshness, Renewal, Word};
    pub use crate::quota::{Quota, QuotaBound};
}
