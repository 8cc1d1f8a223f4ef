//! Stand-ins for tests: platform store, backend server, caller load and TCP relay.
//!
//! Each of them runs inside the calling process or as a subcommand of the
//! `rhubarblanding_standins` program.

pub mod answer;
pub mod backend;
pub mod command;
pub mod error;
pub mod headers;
pub mod http;
pub mod load;
pub mod process;
pub mod relay;
pub mod store;
