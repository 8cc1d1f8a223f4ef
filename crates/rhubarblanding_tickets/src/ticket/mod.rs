//! Tickets: their raw form as written in JSON, their validation and the validated form.

mod check;
mod error;
pub mod limits;
mod raw;

use std::collections::{BTreeMap, BTreeSet};

use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::ids::TicketNumber;
use rhubarblanding_core::names::ServiceName;
use serde::de::DeserializeOwned;

pub(crate) use check::check_service;
pub use error::{FieldError, FieldReason, InvalidTicket};
pub use raw::{RawBackend, RawKind, RawService, RawTicket};

use crate::spec::ServiceSpec;

/// Validated ticket: the complete new state of the services that it touches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Number chosen by the operator.
    pub number: TicketNumber,
    /// New state of each service that is set.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Services that are removed.
    pub remove_services: BTreeSet<ServiceName>,
}

impl Ticket {
    /// Parses and validates a ticket in JSON.
    ///
    /// # Errors
    ///
    /// Lists every field whose value is not allowed. A field that is unknown, missing or of the
    /// wrong type ends the parsing, so it is listed alone.
    pub fn from_json(bytes: &[u8]) -> Result<Self, InvalidTicket> {
        from_json::<RawTicket>(bytes)?.try_into()
    }

    /// Returns the names of the services that are set or removed.
    pub fn touched(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys().chain(&self.remove_services)
    }

    /// Returns the digest of the content, which is equal for equivalent tickets.
    pub fn digest(&self) -> u64 {
        // Serialization of the raw form cannot fail: its keys are strings.
        let content = serde_json::to_vec(&RawTicket::from(self)).unwrap_or_default();
        stable_hash(0, &content)
    }
}

impl TryFrom<RawTicket> for Ticket {
    type Error = InvalidTicket;

    fn try_from(raw: RawTicket) -> Result<Self, Self::Error> {
        check::check_ticket(raw)
    }
}

/// Parses JSON and reports the path of the first malformed field.
///
/// # Errors
///
/// One field error with the path, the reason and the position in the text.
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, InvalidTicket> {
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let malformed = |path: String, e: serde_json::Error| InvalidTicket {
        fields: vec![FieldError::new(
            path,
            &FieldReason::Malformed(e.to_string()),
        )],
    };
    let value = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| malformed(e.path().to_string(), e.into_inner()))?;
    deserializer
        .end()
        .map_err(|e| malformed(".".to_owned(), e))?;
    Ok(value)
}
