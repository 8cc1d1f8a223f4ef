//! At-most-once execution, one file per area.
#![expect(clippy::unwrap_used, reason = "a failed fixture fails its test")]

mod common;
mod fuzz;
mod ledger;
mod manager;
mod scenarios;
mod sim;
mod table;
