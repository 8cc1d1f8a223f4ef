//! Forwarding of requests by routes, from the node where they enter to the node beside a target.
//!
//! A request takes two hops: the entry node finds its route and chooses a target; the node beside
//! that target, the only way to it, admits the request and forwards it. Names and formats of a
//! foreign platform are handled only by its [`Protocol`](protocol::Protocol).
//!
//! Modules are grouped by lifetime: [`request`], [`connection`], [`version`], [`process`].

pub mod connection;
pub mod process;
pub mod protocol;
pub mod request;
pub mod settings;
pub mod version;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::process::Mesh;
    pub use crate::protocol::{ControlCall, HeaderNames, InstanceReport, Protocol};
    pub use crate::settings::MeshSettings;
}
