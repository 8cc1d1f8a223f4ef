//! State of a node as operators see it.

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
    /// Life cycle of its own target.
    pub state: TargetState,
    /// Version of the document in force at the node.
    pub document_version: DocVersion,
    /// Number of this life of the node.
    pub incarnation: Incarnation,
    /// Targets that the node knows.
    pub targets: Vec<TargetStatus>,
    /// Limits in force in front of its own backend server.
    pub limits: NodeLimits,
    /// Lowest priority that the node admits.
    pub admission_level: AdmissionLevel,
}

/// One target as the node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target.
    #[serde(flatten)]
    pub info: TargetInfo,
    /// Load that it last reported, if the node has heard one.
    pub load: Option<LoadReport>,
}

/// Limits in force in front of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeLimits {
    /// Requests that may run at a time.
    pub concurrency: u32,
    /// Requests running.
    pub in_flight: u32,
    /// Requests waiting in the queue.
    pub queued: u32,
}

/// Answer to `POST /v1/drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainAnswer {
    /// Life cycle of the node's own target from now on.
    pub state: TargetState,
    /// Requests that are still running.
    pub in_flight: u32,
}

/// Least grave log lines that a node writes.
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
    /// Faults only.
    Error,
    /// Also what may lead to faults.
    Warn,
    /// Also changes of state.
    Info,
    /// Also details for developers.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// Names of the levels, gravest first.
    pub const NAMES: &'static [&'static str] = <Self as VariantNames>::VARIANTS;
}

/// Body of `PUT /v1/log-level`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogLevelRequest {
    /// Level from now on.
    pub level: LogLevel,
}
