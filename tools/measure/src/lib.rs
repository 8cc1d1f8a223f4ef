//! Measurements of goodput, recovery, latency and drain on real processes.
//!
//! Each case starts the programs beside it on the loopback interface, sends them load from a
//! seed, and prints a table or JSON lines. Systems to compare run one after the other within a
//! case: see [`system::System`].

pub mod command;
pub mod cost;
pub mod drain;
pub mod figures;
pub mod latency;
pub mod output;
pub mod overload;
pub mod preset;
pub mod recovery;
pub mod slopes;
pub mod system;
