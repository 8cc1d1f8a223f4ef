//! Inputs and outputs of a member.

use rhubarblanding_core::prelude::{
    DocVersion, HostId, Incarnation, ServiceName, TargetInfo, TargetState,
};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::document::Document;
use crate::message::GossipMessage;

/// What a member is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message arrived.
    Message(GossipMessage),
    /// The own backend server announced itself or changed.
    Announce {
        /// Life cycle.
        state: TargetState,
        /// Requests that it can run at a time.
        slots: u32,
    },
    /// The services that the own backend server calls, all of them.
    Interests(Vec<ServiceName>),
    /// A caller asks for a service; it is kept for a while.
    Lookup(ServiceName),
    /// Peer addresses read from the platform's service.
    Seeds(Vec<HostId>),
    /// The operators' document was read from the platform's service, whole or its changed parts.
    Document(Document),
    /// Time has passed.
    Tick,
}

/// Whether a target answers probes.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Health {
    /// It answers, as far as is known.
    Healthy,
    /// It did not answer lately; to be used after the healthy ones.
    Suspect,
}

/// Change that a member reports to its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A target of a service of interest became known.
    TargetUp {
        /// The target.
        info: TargetInfo,
        /// Whether it answers probes.
        health: Health,
    },
    /// A known target changed its state, slots, incarnation or health.
    TargetChanged {
        /// The target.
        info: TargetInfo,
        /// Whether it answers probes.
        health: Health,
    },
    /// A known target stopped or was declared down, or its service is no longer of interest.
    TargetDown {
        /// Host of the target.
        host: HostId,
        /// Life that ended.
        incarnation: Incarnation,
        /// Service of the target.
        service: ServiceName,
    },
    /// A peer holds a newer document; it was asked for it.
    NewerDocument {
        /// Version that the peer holds.
        version: DocVersion,
        /// The peer.
        from: HostId,
    },
    /// A newer document was received from a peer; it is complete.
    DocumentReceived(Document),
    /// The node should begin or stop to watch the platform's service.
    WatchStore(bool),
    /// The node was declared down while it lived, and took a new incarnation.
    IncarnationRaised(Incarnation),
}

/// What the owner of a member has to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send `msg` to `to`; it may be lost.
    Send {
        /// Receiver.
        to: HostId,
        /// Message.
        msg: Box<GossipMessage>,
    },
    /// Take notice of a change.
    Event(Event),
}
