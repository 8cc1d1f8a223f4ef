//! Oracle that checks verdicts and the documents of nodes against every document ever stored.

use std::collections::BTreeMap;
use std::sync::Arc;

use rhubarblanding_core::prelude::*;
use rhubarblanding_tickets::prelude::*;

/// Violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// No stored document has the state of an accepted ticket.
    AcceptedButNeverStored { submission: SubmissionId },
    /// A later document has an older state of a service that an accepted ticket touched.
    AcceptedButReplaced { submission: SubmissionId },
    /// A stored document has the state of a refused ticket.
    RefusedButStored { submission: SubmissionId },
    /// Two final verdicts on one submission differ.
    VerdictChanged { submission: SubmissionId },
    /// A node has an older state than before.
    NodeRegressed { node: usize },
    /// A connected node does not have the newest document at the end.
    NodeOutdated { node: usize },
    /// A submission has no final verdict at the end.
    NeverSettled { submission: SubmissionId },
}

/// A submission, as made by an operator.
#[derive(Clone, Debug)]
pub struct Submission {
    pub id: SubmissionId,
    pub ticket: Arc<Ticket>,
}

/// Number of times that each verdict was reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub accepted: usize,
    pub refused: usize,
    pub forgotten: usize,
}

/// Final verdicts reported to operators.
#[derive(Debug, Default)]
pub struct ReportedVerdicts {
    pub tally: Tally,
    verdicts: BTreeMap<SubmissionId, (Arc<Ticket>, Verdict)>,
}

impl ReportedVerdicts {
    /// Records a verdict, which must agree with any earlier one. [`Verdict::Forgotten`] agrees with
    /// every verdict.
    pub fn record(&mut self, of: &Submission, verdict: Verdict) -> Result<(), Violation> {
        match verdict {
            Verdict::Accepted { .. } => self.tally.accepted += 1,
            Verdict::Refused { .. } => self.tally.refused += 1,
            Verdict::Forgotten { .. } => {
                self.tally.forgotten += 1;
                return Ok(());
            }
            Verdict::NotYetKnown => return Ok(()),
        }
        let reported = (of.ticket.clone(), verdict.clone());
        let (_, earlier) = self.verdicts.entry(of.id).or_insert(reported);
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

/// Returns `true` if the document has the complete state that the ticket sets.
fn has_state(document: &Document, ticket: &Ticket) -> bool {
    let set = |name: &ServiceName| document.set_by(name).map(|by| by.ticket);
    let same = |name| set(name) == Some(ticket.number);
    ticket.touched().all(same)
        && ticket
            .touched()
            .all(|name| document.service(name) == ticket.services.get(name))
}

/// Checks that from the first document with the ticket's state on, each service that it touches
/// has that state or a higher number.
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

/// Checks that no document has any state set by the submission, identified by its identifier or
/// by its content, which is unique.
fn check_refused(
    submission: SubmissionId,
    ticket: &Ticket,
    stored: &[Arc<Document>],
) -> Result<(), Violation> {
    let has_part = |document: &Arc<Document>| {
        document.entries().any(|(name, entry)| {
            let content = entry.spec.is_some() && entry.spec.as_ref() == ticket.services.get(name);
            let number = entry.set_by.ticket == ticket.number;
            entry.set_by.submission == submission || (number && content)
        })
    };
    match stored.iter().any(has_part) {
        true => Err(Violation::RefusedButStored { submission }),
        false => Ok(()),
    }
}

/// Last ticket number of each service in the documents of one instance of a node.
#[derive(Debug, Default)]
pub struct NodeNumbers {
    numbers: BTreeMap<ServiceName, TicketNumber>,
}

impl NodeNumbers {
    pub fn record(&mut self, node: usize, document: &Document) -> Result<(), Violation> {
        for (name, number) in &self.numbers {
            let current = document.set_by(name).map(|by| by.ticket);
            if current < Some(*number) {
                return Err(Violation::NodeRegressed { node });
            }
        }
        for (name, entry) in document.entries() {
            self.numbers.insert(name.clone(), entry.set_by.ticket);
        }
        Ok(())
    }
}
