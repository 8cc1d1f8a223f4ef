//! What is under way in a simulated cluster.

use rhubarblanding_core::ids::{IdempotencyKey, TableVersion};
use rhubarblanding_once::prelude::*;

/// Index of one life of a node.
pub type NodeIndex = usize;

/// What the entry node hears of one ask.
#[derive(Clone, Debug)]
pub enum Reply {
    Answer(RecordedAnswer),
    Failure(AskFailure),
}

/// A call to the store by one keeper.
#[derive(Clone, Debug)]
pub enum StoreCall {
    Read,
    Swap(Option<TableVersion>, HomeTable),
}

/// Anything that can be delayed, reordered or lost.
#[derive(Clone, Debug)]
pub enum Event {
    Peer(Envelope),
    Ask(AttemptRequest, MemberId),
    Reply(CallerId, NodeIndex, Reply),
    Spread(NodeIndex, MemberId, HomeTable),
    Adopted(NodeIndex, AdoptionReply),
    Dispatch(NodeIndex, IdempotencyKey, RunId, CallerId),
    Ended(NodeIndex, IdempotencyKey, RunId, Outcome),
    AskOutcome(NodeIndex, IdempotencyKey, RunId),
    Store(NodeIndex, u64, StoreCall),
    StoreAnswer(NodeIndex, u64, KeeperInput),
}

impl Event {
    /// The node that takes the next step of something of its own.
    pub fn owner(&self) -> Option<NodeIndex> {
        match self {
            Self::Adopted(node, ..)
            | Self::Dispatch(node, ..)
            | Self::Ended(node, ..)
            | Self::AskOutcome(node, ..)
            | Self::Store(node, ..)
            | Self::StoreAnswer(node, ..) => Some(*node),
            Self::Peer(_) | Self::Ask(..) | Self::Reply(..) | Self::Spread(..) => None,
        }
    }

    /// Whether it is a step of this node.
    pub fn is_of(&self, node: NodeIndex) -> bool {
        self.owner() == Some(node)
    }

    /// Whether it travels between hosts, where it can be lost.
    pub fn is_remote(&self) -> bool {
        !matches!(self, Self::Dispatch(..) | Self::AskOutcome(..))
    }

    /// Whether the network or a resend may deliver it twice.
    pub fn may_repeat(&self) -> bool {
        matches!(
            self,
            Self::Peer(_) | Self::Spread(..) | Self::Adopted(..) | Self::Reply(..)
        )
    }
}
