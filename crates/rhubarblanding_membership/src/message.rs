//! Messages between members.

use rhubarblanding_core::prelude::{DocVersion, HostId, Incarnation, ServiceName};
use serde::{Deserialize, Serialize};
use strum::{EnumDiscriminants, EnumIter, IntoStaticStr};

use crate::document::Document;
use crate::record::Record;

/// Sequence number that matches an answer to its probe, unique at the probing node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProbeSeq(pub u64);

/// Hosts that hold the records of a service's targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contacts {
    /// The service.
    pub service: ServiceName,
    /// Hosts to query.
    pub hosts: Vec<HostId>,
}

/// Extract of a peer sample and of the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Records of peers.
    pub peers: Vec<Record>,
    /// Entries of the directory.
    pub contacts: Vec<Contacts>,
}

/// Records of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecords {
    /// The service.
    pub service: ServiceName,
    /// Records that the sender holds.
    pub records: Vec<Record>,
    /// `true` if the receiver should answer with the records that the sender is missing.
    pub answer: bool,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr, EnumDiscriminants)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
#[strum_discriminants(name(BodyKind), derive(Hash, EnumIter, IntoStaticStr))]
#[strum_discriminants(doc = "Kind of a [`Body`].")]
#[strum_discriminants(strum(serialize_all = "snake_case"))]
pub enum Body {
    /// No content besides the updates and the document version of every message.
    #[serde(rename = "rumours")]
    #[strum(serialize = "rumours")]
    #[strum_discriminants(strum(serialize = "rumours"))]
    Updates,
    /// Probe.
    Ping(ProbeSeq),
    /// Answer to a probe.
    Ack(ProbeSeq),
    /// Request to probe `target` and to forward its answer.
    PingRequest {
        /// Number of the probe at the requesting node.
        seq: ProbeSeq,
        /// Host to probe.
        target: HostId,
    },
    /// First message to a peer; the answer carries the whole directory.
    Join(Box<Record>),
    /// Exchange of peer samples.
    Shuffle(Exchange),
    /// Answer to [`Body::Shuffle`] or [`Body::Join`].
    ShuffleReply(Exchange),
    /// Hash of the sender's view of a service, for comparison.
    Digest {
        /// The service.
        service: ServiceName,
        /// Hash over the live records.
        hash: u64,
    },
    /// Records of a service.
    Records(ServiceRecords),
    /// Request for the targets of a service.
    Lookup(ServiceName),
    /// Answer to [`Body::Lookup`] by a node that does not hold the service.
    Contacts(Contacts),
    /// Request for the parts of the document changed since a version.
    DocumentRequest(DocVersion),
    /// Parts of the document.
    Document(Document),
}

/// One message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Sender.
    pub from: HostId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Version of the operators' document that the sender holds.
    pub document: DocVersion,
    /// Updates carried by the message.
    #[serde(rename = "rumours")]
    pub updates: Vec<Record>,
    /// Content.
    pub body: Body,
}

impl GossipMessage {
    /// Returns the kind of the message.
    pub fn kind(&self) -> BodyKind {
        BodyKind::from(&self.body)
    }
}
