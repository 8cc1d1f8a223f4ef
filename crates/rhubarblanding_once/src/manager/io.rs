//! Inputs, outputs and settings of a table manager.

use std::time::Duration;

use rhubarblanding_core::ids::TableVersion;

use crate::safeguards::Safeguards;
use crate::table::{AdoptionReply, HomeTable, Member, MemberId};

/// Intervals of a [`TableManager`](super::TableManager).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ManagerSettings {
    /// Time from a proposal to the start of its epoch. It must exceed the ledgers' `mint_skew`.
    pub lead: Duration,
    /// Time from a proposal to the start of its epoch if it relies on a confirmed stop. The hosts'
    /// clocks may differ by half of this time less the ledgers' `mint_skew`.
    pub stopped_lead: Duration,
    /// Time before its start at which a proposal that is not activated is withdrawn.
    pub abort_margin: Duration,
    /// Minimum time between two proposals, raised after each one that had to be withdrawn.
    pub proposal_interval: Duration,
    /// Maximum time between two proposals.
    pub proposal_interval_max: Duration,
    /// Time after which a store call that failed, or a proposal without answer, is repeated.
    pub retry_interval: Duration,
    /// Time that the table may differ from the view before the next member in the view acts too.
    pub takeover_after: Duration,
    /// Time after their mint time for which keys are answered from records.
    pub retention: Duration,
    /// Time that a member that has just started waits for others to appear before it proposes an
    /// epoch that relies on a confirmed stop: such an epoch begins late, and until then no member
    /// decides on new keys.
    pub join_time: Duration,
    /// Maximum number of members listed in all epochs of the document together.
    pub max_listed_members: usize,
    /// Mechanisms that tests disable to show that the fault is detected.
    pub safeguards: Safeguards,
}

impl Default for ManagerSettings {
    fn default() -> Self {
        Self {
            lead: Duration::from_secs(4),
            stopped_lead: Duration::from_secs(30),
            abort_margin: Duration::from_secs(1),
            proposal_interval: Duration::from_secs(10),
            proposal_interval_max: Duration::from_secs(120),
            retry_interval: Duration::from_secs(1),
            takeover_after: Duration::from_secs(30),
            retention: Duration::from_secs(3600),
            join_time: Duration::from_secs(3),
            max_listed_members: 8_000,
            safeguards: Safeguards::default(),
        }
    }
}

/// Result of reading the document from the platform's key-value service, the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The current document.
    Table(HomeTable),
    /// The store has no document yet.
    Absent,
    /// The store did not answer.
    Unavailable,
}

/// Result of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The document was written.
    Swapped,
    /// Another version was found; nothing was written.
    Conflict,
    /// No answer came; the document may have been written, or may yet be.
    Unknown,
}

/// Input of a table manager.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManagerInput {
    /// The members that are alive and serving, as seen by this node.
    View(Vec<Member>),
    /// A member has stopped for good, and so has every request that it sent to its backend
    /// server. Only an operator or the platform can confirm it; a missing heartbeat does not
    /// prove it.
    Stopped(MemberId),
    /// A table was learned from another node.
    Learned(HomeTable),
    /// Answer to [`ManagerOutput::Read`].
    Read(ReadResult),
    /// Answer to [`ManagerOutput::Swap`].
    Swap(SwapResult),
    /// A member answered a table of [`ManagerOutput::Distribute`].
    Adoption(AdoptionReply),
    /// Time has passed.
    Tick,
}

/// Output of a table manager, carried out by its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManagerOutput {
    /// Read the document. Exactly one [`ManagerInput::Read`] must follow.
    Read,
    /// Write `table` if the document's version is `expected`; `None` means that there is none.
    /// Exactly one [`ManagerInput::Swap`] must follow.
    Swap {
        /// Version that must be found.
        expected: Option<TableVersion>,
        /// Document to write.
        table: HomeTable,
    },
    /// Send a table to members, this node included, and report their answers.
    Distribute {
        /// Receivers.
        to: Vec<MemberId>,
        /// Table for [`Ledger::adopt`](crate::ledger::Ledger::adopt).
        table: HomeTable,
    },
}
