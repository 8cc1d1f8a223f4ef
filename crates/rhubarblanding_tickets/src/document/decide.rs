//! The decision about one submission against one state of the document.
//!
//! Numbers of objects and of the history only rise, so a refusal for a number holds for every
//! later document. It is therefore safe to refuse on a stale read, and while an earlier write of
//! the same submission may still be under way: that write was decided on an older document and
//! fails its comparison. A refusal for size may not hold later, so it is recorded.

use rhubarblanding_core::ids::DocVersion;

use super::history::SubmissionRecord;
use super::verdict::{Outdated, SettledVerdict, TicketRefusal, Verdict};
use super::{DOCUMENT_MAX_BYTES, Document, ServiceEntry, SetBy, SubmissionId};
use crate::ticket::Ticket;

/// What to do about a submission, given one state of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Nothing is to be written; the verdict will not change.
    Settled(Verdict),
    /// The verdict holds once this document has been stored in place of the one given.
    Store {
        /// The next document.
        document: Box<Document>,
        /// Verdict from then on.
        verdict: SettledVerdict,
    },
}

/// Decides about a submission.
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

/// The document with the ticket's state in place of that of the services it touches.
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
    /// Verdict on a submission as far as the document remembers it.
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
            _ if may_be_forgotten => self.verdict_of_objects(ticket, submission),
            _ => None,
        }
    }

    /// Verdict as told by the objects alone, for a number whose record may be forgotten.
    fn verdict_of_objects(&self, ticket: &Ticket, submission: SubmissionId) -> Option<Verdict> {
        let set_by: Vec<_> = ticket.touched().map(|name| self.set_by(name)).collect();
        let own = set_by
            .iter()
            .flatten()
            .find(|by| by.submission == submission);
        if let Some(SetBy { version, .. }) = own {
            return Some(Verdict::Accepted { version: *version });
        }
        // Had it been accepted, each object would carry its number or a higher one, and the same
        // number only together with its identifier.
        let excluded = |by: &Option<SetBy>| by.is_none_or(|by| by.ticket <= ticket.number);
        if set_by.iter().any(excluded) {
            return None;
        }
        let up_to = self.history.forgotten_up_to();
        Some(Verdict::Forgotten { up_to })
    }

    /// Refuses an identifier that is in the history already.
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

    /// The next version with one more record and nothing else changed.
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
