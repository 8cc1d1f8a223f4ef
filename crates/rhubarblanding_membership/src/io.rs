//! Inputs and outputs of the membership state machine.

use rhubarblanding_core::prelude::{
    DocVersion, HostId, Incarnation, ServiceName, TargetInfo, TargetState,
};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::document::Document;
use crate::message::GossipMessage;

/// Input of [`Membership`](crate::membership::Membership).
#[derive(Clone, Debug)]
pub enum Input {
    /// A message from a peer was received.
    Message(GossipMessage),
    /// The node's own backend server announced itself, or its state or slots changed.
    Announce {
        /// Lifecycle state.
        state: TargetState,
        /// Concurrency limit.
        slots: u32,
    },
    /// The node's host belongs to another service from now on; its target is announced anew.
    Service(ServiceName),
    /// What the node on `host` does contradicts its record of that incarnation.
    Contradicted {
        /// Host of the node.
        host: HostId,
        /// Incarnation of the record.
        incarnation: Incarnation,
    },
    /// Complete list of the services that the node's own backend server calls.
    Interests(Vec<ServiceName>),
    /// A caller requests a service; its targets are kept for the lookup TTL.
    Lookup(ServiceName),
    /// Peer addresses read from the key-value service.
    Seeds(Vec<HostId>),
    /// The operators' document, or its changed parts, read from the key-value service.
    Document(Document),
    /// A peer holds this version of the operators' document.
    PeerDocument {
        /// The peer.
        from: HostId,
        /// Version that the peer holds.
        version: DocVersion,
    },
    /// A timer may be due.
    Tick,
}

/// Health status of a target.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Health {
    /// No failed probe is known.
    Healthy,
    /// It is suspected or was declared down; usable only after the healthy targets.
    Suspect,
}

/// Change that a member reports to its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A target of a service of interest was discovered.
    TargetUp {
        /// The target.
        info: TargetInfo,
        /// Health status.
        health: Health,
    },
    /// A known target changed its state, slots, incarnation or health.
    TargetChanged {
        /// The target.
        info: TargetInfo,
        /// Health status.
        health: Health,
    },
    /// A known target stopped or was declared down, or its service is no longer of interest.
    TargetDown {
        /// Host of the target.
        host: HostId,
        /// Incarnation that ended.
        incarnation: Incarnation,
        /// Service of the target.
        service: ServiceName,
    },
    /// A peer holds a newer document, which was requested from it.
    NewerDocument {
        /// Version that the peer holds.
        version: DocVersion,
        /// The peer.
        from: HostId,
    },
    /// A newer document was received from a peer; this is the complete document.
    DocumentReceived(Document),
    /// The node should start (`true`) or stop (`false`) watching the key-value service.
    WatchStore(bool),
    /// The running node was declared down and took a new incarnation.
    IncarnationRaised(Incarnation),
}

/// Action for the owner of a member.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send `msg` to `to`; delivery need not be reliable.
    Send {
        /// Receiver.
        to: HostId,
        /// Message.
        msg: Box<GossipMessage>,
    },
    /// Handle a change.
    Event(Event),
}
