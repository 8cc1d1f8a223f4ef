//! Forwarding of requests by routes, from the node where they enter to the node beside a target.
//!
//! A request takes two hops: the entry node finds its route and chooses a target, and the node
//! beside that target, the only way to it, admits it and hands it over. What a foreign platform
//! calls things and how it writes them is known to its [`Dialect`](dialect::Dialect) only.
//!
//! Modules follow life spans: [`request`], [`connection`], [`version`], [`process`].

pub mod connection;
pub mod dialect;
pub mod process;
pub mod request;
pub mod settings;
pub mod version;

/// The names that a user of this crate types daily.
pub mod prelude {
    pub use crate::dialect::{ControlCall, Dialect, HeaderNames, InstanceReport};
    pub use crate::process::Mesh;
    pub use crate::settings::MeshSettings;
}
