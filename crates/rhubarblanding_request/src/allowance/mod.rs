//! Retry allowance of the requests that run at one node.

mod call;
mod ledger;
mod share;
mod token;

pub use call::{CallDigest, CallStart};
pub use ledger::{AllowanceLedger, AllowanceSettings, Exhausted, Lent, RequestKey};
pub use share::LendShare;
pub use token::Token;
