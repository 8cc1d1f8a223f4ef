//! Request and answer bodies of the operator listener, shared by the node and the command line.

mod status;
mod tickets;

pub use status::{DrainAnswer, LogLevel, LogLevelRequest, NodeLimits, NodeStatus, TargetStatus};
pub use tickets::{ActiveService, OperatorError, SubmitAnswer, SubmitRequest, TicketAnswer};

/// Path of the operator listener for submitting tickets; followed by `/` and a number, for showing
/// one.
pub const TICKETS_PATH: &str = "/v1/tickets";
/// Path of the operator listener for the node's status.
pub const STATUS_PATH: &str = "/v1/status";
/// Path of the operator listener to drain the node.
pub const DRAIN_PATH: &str = "/v1/drain";
/// Path of the operator listener to set the log level.
pub const LOG_LEVEL_PATH: &str = "/v1/log-level";
