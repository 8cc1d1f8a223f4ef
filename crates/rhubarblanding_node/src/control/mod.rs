//! Control between nodes: JSON-RPC methods on the peer face.

mod client;
mod server;
mod table;

pub use client::{CONTROL_PATH, ControlClient, ControlError};
pub use server::{ControlServer, control_module};
pub use table::{fetch_table, refresh_table};

/// Names of the JSON-RPC methods.
pub mod method {
    /// Passes a membership message on.
    pub const GOSSIP: &str = "control_gossip";
    /// Passes an at-most-once message on.
    pub const ONCE: &str = "control_once";
    /// Puts a home table in force at the receiver.
    pub const ADOPT_TABLE: &str = "control_adoptTable";
    /// Reads the home table of the receiver's service.
    pub const TABLE: &str = "control_table";
    /// Reads the receiver's identity in home tables.
    pub const MEMBER: &str = "control_member";
    /// Reads the receiver's document.
    pub const DOCUMENT: &str = "control_document";
}
