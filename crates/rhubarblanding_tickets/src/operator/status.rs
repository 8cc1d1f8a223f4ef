//! State of a node as shown to operators.

use rhubarblanding_core::ids::{DocVersion, HostId, Incarnation};
use rhubarblanding_core::importance::AdmissionLevel;
use rhubarblanding_core::load::LoadReport;
use rhubarblanding_core::names::{ServiceName, ZoneName};
use rhubarblanding_core::target::{TargetInfo, TargetState};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Host that the node runs on.
    pub host: HostId,
    /// Service of its backend server.
    pub service: ServiceName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Lifecycle state of its own target.
    pub state: TargetState,
    /// Version of the document active at the node.
    pub document_version: DocVersion,
    /// Generation number of this instance of the node.
    pub incarnation: Incarnation,
    /// Targets in the node's view.
    pub targets: Vec<TargetStatus>,
    /// Current limits and load of its own backend server.
    pub limits: NodeLimits,
    /// Lowest priority that the node currently admits.
    pub admission_level: AdmissionLevel,
}

/// One target in a node's view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target.
    #[serde(flatten)]
    pub info: TargetInfo,
    /// Last load report that the node received, if any.
    pub load: Option<LoadReport>,
}

/// Current limits and load of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeLimits {
    /// Concurrency limit.
    pub concurrency: u32,
    /// Number of running requests.
    pub in_flight: u32,
    /// Number of requests waiting in the queue.
    pub queued: u32,
}

/// Answer to `POST /v1/drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainAnswer {
    /// New lifecycle state of the node's own target.
    pub state: TargetState,
    /// Number of requests that are still running.
    pub in_flight: u32,
}

/// Lowest severity of log lines that a node writes.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Also conditions that may lead to errors.
    Warn,
    /// Also changes of state.
    Info,
    /// Also details for developers.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// Names of the levels, most severe first.
    pub const NAMES: &'static [&'static str] = <Self as VariantNames>::VARIANTS;
}

/// Body of `PUT /v1/log-level`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogLevelRequest {
    /// New level.
    pub level: LogLevel,
}
