//! Recent submissions and the ticket numbers that are no longer available.

use std::collections::BTreeMap;

use rhubarblanding_core::ids::TicketNumber;
use serde::{Deserialize, Serialize};

use super::verdict::SettledVerdict;
use super::{SubmissionId, TicketRefusal};
use crate::ticket::Ticket;

/// Maximum number of recorded submissions.
pub const HISTORY_MAX: usize = 256;

/// Record of one submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionRecord {
    /// Identifier of the submission.
    pub submission: SubmissionId,
    /// Digest of its ticket.
    pub digest: u64,
    /// Verdict on the submission.
    pub verdict: SettledVerdict,
}

impl SubmissionRecord {
    /// Returns the verdict on `ticket`, which has this record's number: a refusal if its content
    /// differs.
    pub(super) fn verdict_on(&self, ticket: &Ticket) -> SettledVerdict {
        if self.digest == ticket.digest() {
            return self.verdict.clone();
        }
        let ticket = ticket.number;
        let reason = TicketRefusal::SubmissionReused { ticket };
        SettledVerdict::Refused { reason }
    }
}

/// Bounded history of submissions, ordered by ticket number.
///
/// When it is full, the record with the lowest number is dropped ("forgotten"); every number up to
/// that one then counts as used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    forgotten_up_to: TicketNumber,
    records: BTreeMap<TicketNumber, SubmissionRecord>,
}

impl History {
    /// Returns the highest number whose record may have been dropped, or zero if none was.
    pub fn forgotten_up_to(&self) -> TicketNumber {
        self.forgotten_up_to
    }

    /// Returns the record of a ticket number.
    pub fn record(&self, number: TicketNumber) -> Option<&SubmissionRecord> {
        self.records.get(&number)
    }

    /// Returns the number and record of a submission.
    pub fn find(&self, submission: SubmissionId) -> Option<(TicketNumber, &SubmissionRecord)> {
        self.records
            .iter()
            .find(|(_, record)| record.submission == submission)
            .map(|(number, record)| (*number, record))
    }

    /// Returns the records, lowest ticket number first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = (TicketNumber, &SubmissionRecord)> {
        self.records
            .iter()
            .map(|(number, record)| (*number, record))
    }

    pub(super) fn highest(&self) -> Option<TicketNumber> {
        let recorded = self.records.keys().next_back().copied();
        recorded.max(Some(self.forgotten_up_to))
    }

    /// Refuses a number that can no longer be used.
    pub(super) fn check_unused(&self, number: TicketNumber) -> Result<(), TicketRefusal> {
        if let Some(record) = self.records.get(&number) {
            return Err(TicketRefusal::NumberUsed {
                submission: record.submission,
            });
        }
        let highest_dropped = self.dropped_after_insert();
        if number <= highest_dropped {
            return Err(TicketRefusal::NumberTooLow {
                above: highest_dropped,
            });
        }
        Ok(())
    }

    /// Returns the number up to which records are dropped once one more has been inserted. A new
    /// ticket needs a higher number, or its own record would be dropped.
    fn dropped_after_insert(&self) -> TicketNumber {
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
