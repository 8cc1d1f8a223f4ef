//! Pending events of a simulated cluster.

use rhubarblanding_core::ids::{IdempotencyKey, TableVersion};
use rhubarblanding_once::prelude::*;

/// Index of one incarnation of a node.
pub type NodeIndex = usize;

/// Reply to one forwarded request.
#[derive(Clone, Debug)]
pub enum Reply {
    Answer(RecordedAnswer),
    Failure(ForwardFailure),
}

/// A call to the store by one manager.
#[derive(Clone, Debug)]
pub enum StoreCall {
    Read,
    Swap(Option<TableVersion>, HomeTable),
}

/// Anything that can be delayed, reordered or lost.
#[derive(Clone, Debug)]
pub enum Event {
    Peer(Envelope),
    Attempt(AttemptRequest, MemberId),
    Reply(CallerId, NodeIndex, Reply),
    Table(NodeIndex, MemberId, HomeTable),
    Adopted(NodeIndex, AdoptionReply),
    Dispatch(NodeIndex, IdempotencyKey, RunId, CallerId),
    Ended(NodeIndex, IdempotencyKey, RunId, Outcome),
    QueryOutcome(NodeIndex, IdempotencyKey, RunId),
    Store(NodeIndex, u64, StoreCall),
    StoreAnswer(NodeIndex, u64, ManagerInput),
}

impl Event {
    /// Node that the event belongs to. It is `None` for events addressed to a member or a caller.
    pub fn owner(&self) -> Option<NodeIndex> {
        match self {
            Self::Adopted(node, ..)
            | Self::Dispatch(node, ..)
            | Self::Ended(node, ..)
            | Self::QueryOutcome(node, ..)
            | Self::Store(node, ..)
            | Self::StoreAnswer(node, ..) => Some(*node),
            Self::Peer(_) | Self::Attempt(..) | Self::Reply(..) | Self::Table(..) => None,
        }
    }

    /// Returns `true` if the event belongs to this node.
    pub fn is_of(&self, node: NodeIndex) -> bool {
        self.owner() == Some(node)
    }

    /// Returns `true` if the event travels between hosts, where it can be lost.
    pub fn is_remote(&self) -> bool {
        !matches!(self, Self::Dispatch(..) | Self::QueryOutcome(..))
    }

    /// Returns `true` if the network or a resend may deliver it twice.
    pub fn may_repeat(&self) -> bool {
        matches!(
            self,
            Self::Peer(_) | Self::Table(..) | Self::Adopted(..) | Self::Reply(..)
        )
    }
}
