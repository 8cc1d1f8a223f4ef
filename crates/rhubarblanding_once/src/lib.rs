//! At-most-once execution of non-idempotent requests by idempotency key.
//!
//! Each [`IdempotencyKey`](rhubarblanding_core::ids::IdempotencyKey) is a UUID of version 7, so its
//! mint time is part of the key. A [`HomeTable`](table::HomeTable) maps that mint time to one
//! [`Epoch`](table::Epoch), a set of members (nodes), and the epoch maps the key to one
//! [`Placement`](table::Placement) on them: a *home*, which runs the request at its own backend
//! server, a *copy* in another availability zone, which runs it if the home cannot be reached, and
//! a *witness*, which only votes. Home and copy dispatch the request only with the vote of another
//! of the three, and each of the three votes for one of them.
//!
//! - [`ledger::Ledger`] is a node's state for one service: records, running requests, fencing.
//! - [`route::Route`] decides to which node the entry node, which received the request from the
//!   caller, forwards it, and how a failure is answered.
//! - [`manager::TableManager`] updates the table in the platform's key-value service when the
//!   members change.
//!
//! Nothing here performs I/O, reads a clock or draws random numbers. The caller passes
//! [`Now`](time::Now) with each input and carries out the outputs.

pub mod answer;
pub mod ledger;
pub mod manager;
pub mod message;
pub mod route;
pub mod safeguards;
pub mod table;
pub mod time;

/// Commonly used names of this crate.
pub mod prelude {
    pub use crate::answer::{Fingerprint, Header, RecordedAnswer};
    pub use crate::ledger::{
        AttemptRequest, CallerId, Input, Ledger, LedgerSettings, Outcome, Output, Role,
    };
    pub use crate::manager::{
        ManagerInput, ManagerOutput, ManagerSettings, ReadResult, SwapResult, TableManager,
    };
    pub use crate::message::{Envelope, PeerMessage, RunId};
    pub use crate::route::{ForwardFailure, Route, RouteStep};
    pub use crate::table::{
        Adoption, AdoptionReply, Epoch, HomeTable, Member, MemberId, Placement,
    };
    pub use crate::time::Now;
}
