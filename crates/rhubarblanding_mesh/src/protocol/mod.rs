//! Interface of an adapter to a platform: header names, and decoding of the platform's messages.

mod notice;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, StatusCode};
pub use notice::{RateNotice, TargetNotice};
pub use rhubarblanding_admission::slots::{InvalidRate, RequestRate};
use rhubarblanding_core::prelude::*;
use rhubarblanding_routing::table::Configuration;
use rhubarblanding_store::Key;
use rhubarblanding_store::codec::StoreCodec;

/// Headers that a platform's clients and targets use.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier of a request; the client uses a new one for each retry.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender waits for the answer.
    pub deadline_ms: HeaderName,
    /// Only instance that may run the request.
    pub expected_instance: HeaderName,
    /// Marks the answer to a request that the target did not run.
    pub not_executed: HeaderName,
    /// Signature of a target, without which its success counts for nothing.
    pub signature: HeaderName,
    /// Service on the host at which the request entered.
    pub caller_service: HeaderName,
    /// Key of the client's account; a secret, which no target receives.
    pub credential: HeaderName,
    /// Name of the client's account, for the target.
    pub account: HeaderName,
}

/// Identifier of a target's instance; it may stay the same after a restart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InstanceId(pub Arc<str>);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Instance of a target: one process, from its start to its end. Instances with the same identifier
/// differ in their start time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instance {
    /// Time of the start.
    pub started_at: UnixMillis,
    /// Identifier, not unique by itself.
    pub id: InstanceId,
}

/// State that a target reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ReportedState {
    /// It accepts requests.
    Ready,
    /// It is about to stop.
    Draining,
}

/// Heartbeat of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceReport {
    /// Instance that reports.
    pub instance: Instance,
    /// Service to which it claims to belong.
    pub service: ServiceName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// State.
    pub state: ReportedState,
    /// Remaining time for which it is slow after its start.
    pub warmup: Duration,
    /// Number of the report, increasing within one instance.
    pub sequence: u64,
}

/// Message with which an instance announces that it stops for good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceLeave {
    /// Identifier of the instance.
    pub id: InstanceId,
    /// Time of the instance's start, if it was sent.
    pub started_at: Option<UnixMillis>,
}

/// Call of the local target to its node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Heartbeat.
    Report(InstanceReport),
    /// Announcement that the instance stops.
    Leave(InstanceLeave),
}

/// Error in a message of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError {
    /// Field that is invalid.
    pub field: String,
    /// Reason.
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

/// Protocol of a platform: translates between the platform's formats and the mesh's types, and makes
/// no decisions.
pub trait Protocol: fmt::Debug + Send + Sync {
    /// Returns the names of the headers of requests and answers.
    fn headers(&self) -> &HeaderNames;

    /// Returns the possible identifiers of the request that made a call, most likely first, derived
    /// from the call's own identifier. Empty if the platform's identifiers don't contain them.
    fn possible_parents<'a>(&self, request_id: &'a [u8]) -> Vec<&'a [u8]>;

    /// Decodes the notices in the headers of a target's answer.
    fn notice(&self, headers: &HeaderMap) -> TargetNotice;

    /// Decodes a call of the local target.
    ///
    /// # Errors
    ///
    /// Fails with the field that is invalid.
    fn control_call(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<ControlCall, DecodeError>;

    /// Returns the answer to an accepted call of the local target.
    fn acknowledge(&self) -> ControlReply;

    /// Returns the answer to a rejected call of the local target.
    fn reject(&self, status: StatusCode, reason: &str) -> ControlReply;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// Fails with the field that is invalid.
    fn configuration(&self, value: &[u8]) -> Result<Configuration, DecodeError>;

    /// Returns the key of the operators' configuration in the key-value service.
    fn configuration_key(&self) -> Key;

    /// Returns the codec for the key-value service's wire format.
    fn store_codec(&self) -> Arc<dyn StoreCodec>;
}
