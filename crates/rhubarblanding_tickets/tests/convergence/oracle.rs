//! The oracle: what was told to operators and shown by nodes, against every document stored.

use std::collections::BTreeMap;
use std::sync::Arc;

use rhubarblanding_core::prelude::*;
use rhubarblanding_tickets::prelude::*;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// No stored document has the state of an accepted ticket.
    AcceptedButNeverStored { submission: SubmissionId },
    /// A later document has an older state of what an accepted ticket touched.
    AcceptedButReplaced { submission: SubmissionId },
    /// A stored document has the state of a refused ticket.
    RefusedButStored { submission: SubmissionId },
    /// Two final verdicts on one submission differ.
    VerdictChanged { submission: SubmissionId },
    /// A node shows an older state than before.
    NodeWentBack { node: usize },
    /// A node that can be reached does not have the newest document in the end.
    NodeLeftBehind { node: usize },
    /// A submission has no final verdict in the end.
    NeverSettled { submission: SubmissionId },
}

/// A submission, as made by an operator.
#[derive(Clone, Debug)]
pub struct Submission {
    pub id: SubmissionId,
    pub ticket: Arc<Ticket>,
}

/// Number of times that each verdict was told.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub accepted: usize,
    pub refused: usize,
    pub forgotten: usize,
}

/// Final verdicts that operators were told.
#[derive(Debug, Default)]
pub struct Told {
    pub tally: Tally,
    verdicts: BTreeMap<SubmissionId, (Arc<Ticket>, Verdict)>,
}

impl Told {
    /// Notes a verdict; it must agree with an earlier one. What is forgotten may be told so.
    pub fn note(&mut self, of: &Submission, verdict: Verdict) -> Result<(), Violation> {
        match verdict {
            Verdict::Accepted { .. } => self.tally.accepted += 1,
            Verdict::Refused { .. } => self.tally.refused += 1,
            Verdict::Forgotten { .. } => {
                self.tally.forgotten += 1;
                return Ok(());
            }
            Verdict::NotYetKnown => return Ok(()),
        }
        let told = (of.ticket.clone(), verdict.clone());
        let (_, earlier) = self.verdicts.entry(of.id).or_insert(told);
        let agrees = match (&*earlier, &verdict) {
            (Verdict::Refused { .. }, Verdict::Refused { .. }) => true,
            (earlier, verdict) => earlier == verdict,
        };
        match agrees {
            true => Ok(()),
            false => Err(Violation::VerdictChanged { submission: of.id }),
        }
    }

    /// Checks every verdict against every document stored so far.
    pub fn check(&self, stored: &[Arc<Document>]) -> Result<(), Violation> {
        for (id, (ticket, verdict)) in &self.verdicts {
            match verdict {
                Verdict::Accepted { .. } => check_accepted(*id, ticket, stored)?,
                _ => check_refused(*id, ticket, stored)?,
            }
        }
        Ok(())
    }
}

/// Whether the document has the whole state that the ticket sets.
fn has_state(document: &Document, ticket: &Ticket) -> bool {
    let set = |name: &ServiceName| document.set_by(name).map(|by| by.ticket);
    let same = |name| set(name) == Some(ticket.number);
    ticket.touched().all(same)
        && ticket
            .touched()
            .all(|name| document.service(name) == ticket.services.get(name))
}

/// From the first document with its state on, what it touched is as it says or of a higher number.
fn check_accepted(
    submission: SubmissionId,
    ticket: &Ticket,
    stored: &[Arc<Document>],
) -> Result<(), Violation> {
    let first = stored
        .iter()
        .position(|document| has_state(document, ticket));
    let Some(first) = first else {
        return Err(Violation::AcceptedButNeverStored { submission });
    };
    let holds = |document: &Arc<Document>| {
        ticket.touched().all(|name| match document.set_by(name) {
            Some(by) if by.ticket == ticket.number => {
                document.service(name) == ticket.services.get(name)
            }
            Some(by) => by.ticket > ticket.number,
            None => false,
        })
    };
    match stored[first..].iter().all(holds) {
        true => Ok(()),
        false => Err(Violation::AcceptedButReplaced { submission }),
    }
}

/// No document has any state that the submission set, by its identifier or by its content, which
/// is unique.
fn check_refused(
    submission: SubmissionId,
    ticket: &Ticket,
    stored: &[Arc<Document>],
) -> Result<(), Violation> {
    let in_force = |document: &Arc<Document>| {
        document.entries().any(|(name, entry)| {
            let content = entry.spec.is_some() && entry.spec.as_ref() == ticket.services.get(name);
            let number = entry.set_by.ticket == ticket.number;
            entry.set_by.submission == submission || (number && content)
        })
    };
    match stored.iter().any(in_force) {
        true => Err(Violation::RefusedButStored { submission }),
        false => Ok(()),
    }
}

/// What one life of a node has shown: the highest ticket number of each service.
#[derive(Debug, Default)]
pub struct Shown {
    numbers: BTreeMap<ServiceName, TicketNumber>,
}

impl Shown {
    pub fn note(&mut self, node: usize, document: &Document) -> Result<(), Violation> {
        for (name, number) in &self.numbers {
            let shown = document.set_by(name).map(|by| by.ticket);
            if shown < Some(*number) {
                return Err(Violation::NodeWentBack { node });
            }
        }
        for (name, entry) in document.entries() {
            self.numbers.insert(name.clone(), entry.set_by.ticket);
        }
        Ok(())
    }
}
