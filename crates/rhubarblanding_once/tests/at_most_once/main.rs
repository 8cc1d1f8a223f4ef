//! At-most-once execution, one file per area.
#![expect(clippy::unwrap_used, reason = "a failed fixture fails its test")]

mod common;
mod fuzz;
mod keeper;
mod ledger;
mod scenarios;
mod sim;
mod table;
