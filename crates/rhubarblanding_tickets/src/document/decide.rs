//! Decides on a submission for a given state of the document.
//!
//! The ticket numbers of services and of the history only increase, so a refusal for a number
//! holds for every later document. It is therefore safe to refuse on a stale read, and while an
//! earlier write of the same submission may still be in flight: that write is based on an older
//! document and fails its comparison. A refusal for size may not hold later, so it is recorded.

use rhubarblanding_core::ids::DocVersion;

use super::history::SubmissionRecord;
use super::verdict::{Outdated, SettledVerdict, TicketRefusal, Verdict};
use super::{DOCUMENT_MAX_BYTES, Document, ServiceEntry, SetBy, SubmissionId};
use crate::ticket::Ticket;

/// Decision on a submission for a given state of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The verdict is final without a write.
    Settled(Verdict),
    /// The verdict becomes final once this document has replaced the given one.
    Store {
        /// New version of the document.
        document: Box<Document>,
        /// Verdict after the write.
        verdict: SettledVerdict,
    },
}

/// Decides on a submission.
pub fn decide(document: &Document, ticket: &Ticket, submission: SubmissionId) -> Decision {
    if let Some(verdict) = document.known_verdict(ticket, submission) {
        return Decision::Settled(verdict);
    }
    match apply(document, ticket, submission) {
        Ok(next) => Decision::Store {
            verdict: SettledVerdict::Accepted {
                version: next.version,
            },
            document: Box::new(next),
        },
        Err(reason @ TicketRefusal::DocumentTooLarge { .. }) => {
            let verdict = SettledVerdict::Refused { reason };
            let next = document.next_with(ticket, submission, verdict.clone());
            Decision::Store {
                document: Box::new(next),
                verdict,
            }
        }
        Err(reason) => Decision::Settled(Verdict::Refused { reason }),
    }
}

/// Returns the document after applying the ticket to the services it touches.
///
/// # Errors
///
/// Refuses a ticket whose number is used or not above that of each service it touches, and a
/// document that would become too large.
pub fn apply(
    document: &Document,
    ticket: &Ticket,
    submission: SubmissionId,
) -> Result<Document, TicketRefusal> {
    document.check_submission(ticket, submission)?;
    document.check_order(ticket)?;
    document.history.check_unused(ticket.number)?;
    let version = document.next_version();
    let accepted = SettledVerdict::Accepted { version };
    let mut next = document.next_with(ticket, submission, accepted);
    next.set_services(ticket, submission);
    let bytes = next.to_bytes().len();
    if bytes > DOCUMENT_MAX_BYTES {
        return Err(TicketRefusal::DocumentTooLarge {
            bytes,
            max_bytes: DOCUMENT_MAX_BYTES,
        });
    }
    Ok(next)
}

impl Document {
    /// Returns the verdict on a submission if the document still shows it.
    pub fn known_verdict(&self, ticket: &Ticket, submission: SubmissionId) -> Option<Verdict> {
        let up_to = self.history.forgotten_up_to();
        let may_be_forgotten = ticket.number <= up_to;
        match self.history.find(submission) {
            Some((number, record)) if number == ticket.number => {
                Some(record.verdict_on(ticket).into())
            }
            Some((ticket, _)) if !may_be_forgotten => Some(Verdict::Refused {
                reason: TicketRefusal::SubmissionReused { ticket },
            }),
            _ if may_be_forgotten => self.verdict_from_services(ticket, submission),
            _ => None,
        }
    }

    /// Returns the verdict according to the services alone, for a number whose record may have been
    /// dropped.
    fn verdict_from_services(&self, ticket: &Ticket, submission: SubmissionId) -> Option<Verdict> {
        let set_by: Vec<_> = ticket.touched().map(|name| self.set_by(name)).collect();
        let own = set_by
            .iter()
            .flatten()
            .find(|by| by.submission == submission);
        if let Some(SetBy { version, .. }) = own {
            return Some(Verdict::Accepted { version: *version });
        }
        // If it had been accepted, each touched service would have its number or a higher one, and
        // the same number only with the same submission.
        let not_accepted = |by: &Option<SetBy>| by.is_none_or(|by| by.ticket <= ticket.number);
        if set_by.iter().any(not_accepted) {
            return None;
        }
        let up_to = self.history.forgotten_up_to();
        Some(Verdict::Forgotten { up_to })
    }

    /// Refuses a submission that is already in the history.
    fn check_submission(
        &self,
        ticket: &Ticket,
        submission: SubmissionId,
    ) -> Result<(), TicketRefusal> {
        match self.history.find(submission) {
            Some((number, _)) if number == ticket.number => {
                Err(TicketRefusal::NumberUsed { submission })
            }
            Some((ticket, _)) => Err(TicketRefusal::SubmissionReused { ticket }),
            None => Ok(()),
        }
    }

    fn check_order(&self, ticket: &Ticket) -> Result<(), TicketRefusal> {
        let services: Vec<_> = ticket
            .touched()
            .filter_map(|name| Some((name, self.set_by(name)?.ticket)))
            .filter(|(_, set_by)| *set_by >= ticket.number)
            .map(|(service, set_by)| Outdated {
                service: service.clone(),
                set_by,
            })
            .collect();
        match services.is_empty() {
            true => Ok(()),
            false => Err(TicketRefusal::Superseded { services }),
        }
    }

    fn next_version(&self) -> DocVersion {
        DocVersion(self.version.0 + 1)
    }

    /// Returns the next version with one more record and otherwise unchanged.
    fn next_with(
        &self,
        ticket: &Ticket,
        submission: SubmissionId,
        verdict: SettledVerdict,
    ) -> Self {
        let mut next = self.clone();
        next.version = self.next_version();
        let record = SubmissionRecord {
            submission,
            digest: ticket.digest(),
            verdict,
        };
        next.history.insert(ticket.number, record);
        next
    }

    fn set_services(&mut self, ticket: &Ticket, submission: SubmissionId) {
        let set_by = SetBy {
            ticket: ticket.number,
            submission,
            version: self.version,
        };
        let set = ticket.services.iter();
        let set = set.map(|(name, spec)| (name, Some(spec.clone())));
        let removed = ticket.remove_services.iter().map(|name| (name, None));
        for (name, spec) in set.chain(removed) {
            let entry = ServiceEntry { set_by, spec };
            self.services.insert(name.clone(), entry);
        }
    }
}
