//! Change tickets: the document, its checks, submission and adoption.
//!
//! A [`Ticket`] contains the complete new state of each service that it touches. All active tickets
//! make up one [`Document`] under one key of the key-value service, changed by compare-and-swap.
//! [`document::apply`] accepts or refuses a ticket, [`Submitter`] writes it to the document despite
//! lost answers and outages, and [`Adopter`] lets a node adopt only higher versions. None of
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
//! let turnos = document.service(&"turnos".try_into()?).ok_or("no such service")?;
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

/// Key of the document in the key-value service.
pub const DOCUMENT_KEY: &str = "rhubarblanding/document";

/// The most commonly used items of this crate.
pub mod prelude {
    pub use crate::DOCUMENT_KEY;
    pub use crate::adopt::Adopter;
    pub use crate::client::{DocumentClient, DocumentWatch};
    pub use crate::document::{Document, SubmissionId, TicketRefusal, Verdict, apply};
    pub use crate::spec::{BackendSpec, KindSpec, ServiceSpec};
    pub use crate::submit::Submitter;
    pub use crate::ticket::{InvalidTicket, RawTicket, Ticket};
}
