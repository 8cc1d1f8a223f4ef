//! The node daemon: listeners, peer connections, runtime, metrics and logs.
//!
//! Modules are laid out by life span: [`request`], [`connection`], [`version`] and [`process`].
//! The decisions are made by the other crates of the workspace; this one does the I/O.

pub mod connection;
pub mod control;
pub mod process;
pub mod request;
pub mod settings;
pub mod version;

/// The names that a user of this crate types daily.
pub mod prelude {
    pub use crate::process::{Node, NodeHandle};
    pub use crate::settings::{RawSettings, Settings, SettingsErrors};
}
