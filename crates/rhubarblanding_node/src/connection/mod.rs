//! What lives for a connection: listeners and clients.

mod client;
mod listener;

pub use client::{BackendClient, PeerClient, SendError};
pub use listener::{Face, Listener};

/// Body type used towards handlers.
pub type Body = gotham::helpers::http::Body;
