//! What an adapter to a platform provides: names of headers, and decoding of its messages.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, Method, StatusCode};
use rhubarblanding_core::prelude::*;
use rhubarblanding_routing::table::Configuration;
use rhubarblanding_store::Key;
use rhubarblanding_store::codec::StoreCodec;

/// Headers that a platform's clients and targets use.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier of one attempt of a client.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// Instance that alone may run the request.
    pub expected_instance: HeaderName,
    /// Mark of an answer to a request that the target did not run.
    pub not_executed: HeaderName,
    /// Service on the host where the request began.
    pub caller_service: HeaderName,
}

/// Name of one instance of a target; a restarted target may keep it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceId(pub Arc<str>);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One life of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instance {
    /// Start of the life.
    pub started_at: UnixMillis,
    /// Name of the instance.
    pub id: InstanceId,
}

/// What a target says of its own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ReportedState {
    /// It takes requests.
    Ready,
    /// It is about to leave.
    Draining,
}

/// Heartbeat of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceReport {
    /// Life that reports.
    pub instance: Instance,
    /// Service that it says it belongs to.
    pub service: ServiceName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// State.
    pub state: ReportedState,
    /// How long it stays slow after its start.
    pub warmup: Duration,
    /// Number of the report, rising within one life.
    pub sequence: u64,
}

/// Message of a target that it is leaving for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceLeave {
    /// Name of the instance.
    pub id: InstanceId,
    /// Start of the life that leaves, if it was told.
    pub started_at: Option<UnixMillis>,
}

/// A call of the local target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Heartbeat.
    Report(InstanceReport),
    /// The target leaves.
    Leave(InstanceLeave),
}

/// Why a message of the platform cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError {
    /// Field at fault.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for DecodeError {}

/// Answer to a [`ControlCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlReply {
    /// Status.
    pub status: StatusCode,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Bytes,
}

/// Translation between a platform and the product. It decides nothing.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Headers of requests and answers.
    fn headers(&self) -> &HeaderNames;

    /// Identifiers that the request which made a call may have, given the call's own, the likeliest
    /// first. Empty if the platform's identifiers tell nothing of this.
    fn possible_parents<'a>(&self, request_id: &'a [u8]) -> Vec<&'a [u8]>;

    /// Decodes a call of the local target.
    ///
    /// # Errors
    ///
    /// Fails with the field that cannot be used.
    fn control_call(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<ControlCall, DecodeError>;

    /// Acknowledges a call of the local target.
    fn acknowledge(&self) -> ControlReply;

    /// Refuses a call of the local target.
    fn reject(&self, status: StatusCode, reason: &str) -> ControlReply;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// Fails with the field that cannot be used.
    fn configuration(&self, value: &[u8]) -> Result<Configuration, DecodeError>;

    /// Key of the operators' configuration in the key-value service.
    fn configuration_key(&self) -> Key;

    /// Wire format of the key-value service.
    fn store_codec(&self) -> Arc<dyn StoreCodec>;
}
