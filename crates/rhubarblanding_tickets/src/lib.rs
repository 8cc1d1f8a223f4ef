//! Change tickets: the document, its checks, submission and adoption.
//!
//! A [`Ticket`] carries the whole new state of the services that it touches. All tickets in force
//! make up one [`Document`] under one key of the key-value service, changed by compare-and-swap.
//! [`document::apply`] decides about a ticket, [`Submitter`] brings it into the document through
//! lost answers and outages, and [`Adopter`] lets a node move to higher versions only. None of
//! these performs I/O; [`DocumentClient`] and [`DocumentWatch`] connect them to the service.
//!
//! ```
//! use rhubarblanding_tickets::prelude::*;
//!
//! let ticket = Ticket::from_json(
//!     br#"{
//!         "ticket": 1,
//!         "services": {
//!             "turnos": {
//!                 "kinds": [{
//!                     "name": "reserve",
//!                     "method": "POST",
//!                     "path": "/reservations/*",
//!                     "idempotency": "non_idempotent"
//!                 }]
//!             }
//!         }
//!     }"#,
//! )?;
//! let submission = SubmissionId(uuid::Uuid::from_u128(1));
//! let document = apply(&Document::default(), &ticket, submission)?;
//! let turnos = document.service(&"turnos".try_into()?).ok_or("in force")?;
//! assert_eq!(turnos.classify("POST", "/reservations/7").name.as_str(), "reserve");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod adopt;
pub mod client;
pub mod document;
pub mod operator;
pub mod spec;
pub mod submit;
pub mod ticket;

pub use adopt::Adopter;
pub use client::{DocumentClient, DocumentWatch};
pub use document::{Document, DocumentPart, SubmissionId, TicketRefusal, Verdict, apply};
pub use spec::{BackendSpec, KindSpec, ServiceSpec};
pub use submit::Submitter;
pub use ticket::{InvalidTicket, RawTicket, Ticket};

/// Key under which the key-value service holds the document.
pub const DOCUMENT_KEY: &str = "rhubarblanding/document";

/// The names that a user of this crate types daily.
pub mod prelude {
    pub use crate::DOCUMENT_KEY;
    pub use crate::adopt::Adopter;
    pub use crate::client::{DocumentClient, DocumentWatch};
    pub use crate::document::{Document, SubmissionId, TicketRefusal, Verdict, apply};
    pub use crate::spec::{BackendSpec, KindSpec, ServiceSpec};
    pub use crate::submit::Submitter;
    pub use crate::ticket::{InvalidTicket, RawTicket, Ticket};
}
