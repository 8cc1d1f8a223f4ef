//! Errors found in a ticket.

use std::fmt;
use std::ops::RangeInclusive;

use rhubarblanding_core::names::InvalidName;
use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

use crate::spec::InvalidPattern;

/// Reason for rejecting a field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldReason {
    /// The JSON is malformed or does not have the expected structure.
    Malformed(String),
    /// The value is not a valid name.
    Name(InvalidName),
    /// The value is not a valid pattern.
    Pattern(InvalidPattern),
    /// The value is outside the allowed range.
    Range(RangeInclusive<u64>),
    /// The value is not one of the allowed values.
    NotOneOf(Vec<&'static str>),
    /// There are more entries than allowed.
    TooMany(usize),
    /// The name is used twice.
    Duplicate,
    /// The name is reserved for requests that match no kind.
    Reserved,
    /// An earlier kind has the same method and path, so this one never matches.
    Unreachable,
    /// The service is both set and removed.
    SetAndRemoved,
    /// The ticket touches no service.
    NothingTouched,
}

impl FieldReason {
    /// Returns the reason that lists the names of `T`.
    pub(super) fn not_one_of<T: IntoEnumIterator + Into<&'static str>>() -> Self {
        Self::NotOneOf(T::iter().map(Into::into).collect())
    }
}

impl fmt::Display for FieldReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(message) => f.write_str(message),
            Self::Name(e) => e.fmt(f),
            Self::Pattern(e) => e.fmt(f),
            Self::Range(range) => {
                write!(f, "must be from {} to {}", range.start(), range.end())
            }
            Self::NotOneOf(allowed) => write!(f, "must be one of {}", allowed.join(", ")),
            Self::TooMany(max) => write!(f, "must have at most {max} entries"),
            Self::Duplicate => f.write_str("is named twice"),
            Self::Reserved => f.write_str("is kept for requests that match no kind"),
            Self::Unreachable => {
                f.write_str("is never reached: an earlier kind has the same method and path")
            }
            Self::SetAndRemoved => f.write_str("is both set and removed"),
            Self::NothingTouched => f.write_str("must name at least one service to set or remove"),
        }
    }
}

/// Invalid field, as reported to operators.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FieldError {
    /// Path of the field, such as `services.turnos.kinds[0].weight`.
    pub path: String,
    /// Description of the error and of the allowed values.
    pub reason: String,
}

impl FieldError {
    /// Creates the error of one field.
    pub fn new(path: impl Into<String>, reason: &FieldReason) -> Self {
        Self {
            path: path.into(),
            reason: reason.to_string(),
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// All errors found in a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidTicket {
    /// Invalid fields, never empty.
    pub fields: Vec<FieldError>,
}

impl fmt::Display for InvalidTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, field) in self.fields.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{field}")?;
        }
        Ok(())
    }
}

impl std::error::Error for InvalidTicket {}
