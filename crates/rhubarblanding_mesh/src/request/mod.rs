//! Forwarding of a request from the entry node to the target, and of its answer to the client.

mod account;
mod answer;
mod attempts;
mod content;
mod entry;
mod forward;
mod headers;
mod hop;
mod peer;
mod serve;
mod small_body;

pub use answer::{refusal, refusal_with_message};
pub use entry::handle_client;
pub(crate) use hop::{
    DEPARTURES_PATH, FRESHNESS_PATH, GOSSIP_PATH, QUOTA_PATH, STOP_PATH, SUSPECTS_PATH,
};
pub use hop::{HopHeader, HopOutcome, HopReply, HopRequest, HopResult, HopStatus, InvalidHop};
pub use peer::handle_peer;
pub use serve::serve_local;
pub(crate) use small_body::read_logged;
