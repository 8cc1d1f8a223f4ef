//! Membership by gossip: announcement, failure detection and spreading of state between nodes.
//!
//! [`Membership`](membership::Membership) is a state machine without I/O. Its owner passes the
//! time, a random number generator and one [`Input`](io::Input) per call, and executes the
//! returned [`Output`](io::Output)s. A node keeps the targets of its own service and of the
//! services that it calls, a small sample of peers to gossip with, and a directory of contacts for
//! every other service.

pub mod budget;
pub mod directory;
pub mod document;
pub mod io;
pub mod membership;
pub mod message;
pub mod record;
pub mod sample;
pub mod settings;
pub mod testing;
pub mod updates;
pub mod view;
pub mod watchers;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::document::{Document, DocumentPart};
    pub use crate::io::{Event, Health, Input, Output};
    pub use crate::membership::Membership;
    pub use crate::message::{Body, GossipMessage};
    pub use crate::record::{Record, Stamp, Verdict};
    pub use crate::settings::{Mechanisms, MembershipSettings, ViewMode};
}
