//! Recent submissions and the numbers that are used up.

use std::collections::BTreeMap;

use rhubarblanding_core::ids::TicketNumber;
use serde::{Deserialize, Serialize};

use super::verdict::SettledVerdict;
use super::{SubmissionId, TicketRefusal};
use crate::ticket::Ticket;

/// Number of submissions that are remembered.
pub const HISTORY_MAX: usize = 256;

/// Verdict on one submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionRecord {
    /// Identifier of the submission.
    pub submission: SubmissionId,
    /// Digest of its ticket.
    pub digest: u64,
    /// The verdict.
    pub verdict: SettledVerdict,
}

impl SubmissionRecord {
    /// Verdict on `ticket`, which has this record's number: a refusal if its content is another.
    pub(super) fn verdict_on(&self, ticket: &Ticket) -> SettledVerdict {
        if self.digest == ticket.digest() {
            return self.verdict.clone();
        }
        let ticket = ticket.number;
        let reason = TicketRefusal::SubmissionReused { ticket };
        SettledVerdict::Refused { reason }
    }
}

/// Bounded memory of submissions, ordered by ticket number.
///
/// When it is full the lowest number is forgotten, and from then on every number up to that one
/// counts as used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    forgotten_up_to: TicketNumber,
    records: BTreeMap<TicketNumber, SubmissionRecord>,
}

impl History {
    /// Highest number whose record may have been forgotten; zero if none was.
    pub fn forgotten_up_to(&self) -> TicketNumber {
        self.forgotten_up_to
    }

    /// Record of a ticket number.
    pub fn record(&self, number: TicketNumber) -> Option<&SubmissionRecord> {
        self.records.get(&number)
    }

    /// Number and record of a submission.
    pub fn find(&self, submission: SubmissionId) -> Option<(TicketNumber, &SubmissionRecord)> {
        self.records
            .iter()
            .find(|(_, record)| record.submission == submission)
            .map(|(number, record)| (*number, record))
    }

    /// Records, lowest ticket number first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = (TicketNumber, &SubmissionRecord)> {
        self.records
            .iter()
            .map(|(number, record)| (*number, record))
    }

    pub(super) fn highest(&self) -> Option<TicketNumber> {
        let recorded = self.records.keys().next_back().copied();
        recorded.max(Some(self.forgotten_up_to))
    }

    /// Whether `number` can still be used.
    pub(super) fn check_unused(&self, number: TicketNumber) -> Result<(), TicketRefusal> {
        if let Some(record) = self.records.get(&number) {
            return Err(TicketRefusal::NumberUsed {
                submission: record.submission,
            });
        }
        let lowest_allowed = self.lowest_after_insert();
        if number <= lowest_allowed {
            return Err(TicketRefusal::NumberTooLow {
                above: lowest_allowed,
            });
        }
        Ok(())
    }

    /// Number up to which everything is forgotten once one more record has been inserted. A
    /// ticket must lie above it, or its own record would be the one to go.
    fn lowest_after_insert(&self) -> TicketNumber {
        if self.records.len() < HISTORY_MAX {
            return self.forgotten_up_to;
        }
        let lowest = self.records.keys().next().copied();
        lowest.unwrap_or(self.forgotten_up_to)
    }

    pub(super) fn insert(&mut self, number: TicketNumber, record: SubmissionRecord) {
        self.records.insert(number, record);
        while self.records.len() > HISTORY_MAX {
            if let Some((forgotten, _)) = self.records.pop_first() {
                self.forgotten_up_to = self.forgotten_up_to.max(forgotten);
            }
        }
    }
}
