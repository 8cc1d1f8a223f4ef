//! Verdicts on submissions and reasons to refuse a ticket.

use std::fmt;

use rhubarblanding_core::ids::{DocVersion, TicketNumber};
use rhubarblanding_core::names::ServiceName;
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use super::SubmissionId;

/// Verdict on a submission as far as it is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[serde(tag = "verdict", rename_all = "snake_case", deny_unknown_fields)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The ticket is in the document.
    Accepted {
        /// First document version that contains it.
        version: DocVersion,
    },
    /// The ticket never took effect and never will through this submission.
    Refused {
        /// Reason for the refusal.
        reason: TicketRefusal,
    },
    /// The outcome is not yet known. Retrying with the same identifier resolves it.
    NotYetKnown,
    /// The number is so low that its record may have been dropped. If this was the first
    /// time that the submission was sent, it was not applied.
    Forgotten {
        /// Highest number whose record may have been dropped.
        up_to: TicketNumber,
    },
}

/// A verdict that never changes, as recorded in the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum SettledVerdict {
    /// The ticket is in the document.
    Accepted {
        /// First document version that contains it.
        version: DocVersion,
    },
    /// The ticket was refused.
    Refused {
        /// Reason for the refusal.
        reason: TicketRefusal,
    },
}

impl From<SettledVerdict> for Verdict {
    fn from(settled: SettledVerdict) -> Self {
        match settled {
            SettledVerdict::Accepted { version } => Self::Accepted { version },
            SettledVerdict::Refused { reason } => Self::Refused { reason },
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { version } => write!(f, "accepted in document version {}", version.0),
            Self::Refused { reason } => write!(f, "refused: {reason}"),
            Self::NotYetKnown => {
                f.write_str("not yet known; submit again with the same identifier")
            }
            Self::Forgotten { up_to } => write!(
                f,
                "not known: records of tickets up to number {} are no longer kept; \
                 a new ticket needs a higher number",
                up_to.0
            ),
        }
    }
}

/// Service whose state was set by a ticket with the same or a higher number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outdated {
    /// The service.
    pub service: ServiceName,
    /// Number of the ticket that set it.
    pub set_by: TicketNumber,
}

/// Reason to refuse a ticket. All reasons except the size hold for all later documents too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum TicketRefusal {
    /// Another submission used the number.
    NumberUsed {
        /// The other submission.
        submission: SubmissionId,
    },
    /// The number is not above those whose records were dropped.
    NumberTooLow {
        /// Exclusive lower bound of the allowed numbers.
        above: TicketNumber,
    },
    /// Services that the ticket touches were set by tickets with the same or higher numbers.
    Superseded {
        /// Services with the same or a higher number.
        services: Vec<Outdated>,
    },
    /// The submission was sent before with another ticket.
    SubmissionReused {
        /// Number of the other ticket.
        ticket: TicketNumber,
    },
    /// The document would become too large.
    DocumentTooLarge {
        /// Size of the resulting document.
        bytes: usize,
        /// Maximum size.
        max_bytes: usize,
    },
}

impl fmt::Display for TicketRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NumberUsed { submission } => {
                write!(f, "the number was used by submission {submission}")
            }
            Self::NumberTooLow { above } => write!(f, "the number must be above {}", above.0),
            Self::Superseded { services } => {
                f.write_str("the number must be above those of the tickets in force:")?;
                let mut separator = " ";
                for Outdated { service, set_by } in services {
                    write!(f, "{separator}{service} was set by ticket {}", set_by.0)?;
                    separator = ", ";
                }
                Ok(())
            }
            Self::SubmissionReused { ticket } => write!(
                f,
                "the submission identifier was used for another ticket, number {}",
                ticket.0
            ),
            Self::DocumentTooLarge { bytes, max_bytes } => write!(
                f,
                "the document would have {bytes} bytes, more than {max_bytes}"
            ),
        }
    }
}

impl std::error::Error for TicketRefusal {}
