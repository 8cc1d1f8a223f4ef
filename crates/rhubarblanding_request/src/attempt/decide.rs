//! Decision whether to retry after a failed attempt.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use crate::budget::{BudgetState, is_overload};
use crate::reason::RetryReason;

/// Description of a failed attempt and of the limits on another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Idempotency, which determines whether the request may run twice.
    pub idempotency: Idempotency,
    /// Refusal with which the attempt failed.
    pub refusal: Refusal,
    /// Run state of the request: the same as that of the refusal's kind, or more specific.
    pub run_state: RunState,
    /// `true` if the connection went silent without being closed.
    pub silent: bool,
    /// Retries left to the request.
    pub allowance: u8,
    /// State of the destination's retry budget.
    pub budget: BudgetState,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Minimum time that an attempt takes.
    pub min_attempt_time: Duration,
}

/// Next step after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Retry the request. The code that called [`next_step`] spends the retry.
    Retry(RetryReason),
    /// Answer the request with this refusal.
    GiveUp(Refusal),
}

/// Decides whether a failed attempt is retried.
///
/// A non-idempotent request is retried only if it did not run. Answers that report an overloaded
/// service of the chain are passed on unchanged.
///
/// Call this only for failures between this node and the target. A failure further down that the
/// backend server passed up is its answer: retrying it here as well would multiply the retries
/// over the layers.
pub fn next_step(failed: &FailedAttempt) -> NextStep {
    let give_up = NextStep::GiveUp(accurate_refusal(failed));
    let Some(reason) = retry_reason(failed) else {
        return give_up;
    };
    if failed.allowance == 0 || failed.budget != BudgetState::Available {
        return give_up;
    }
    if failed.remaining <= failed.min_attempt_time {
        return give_up;
    }
    NextStep::Retry(reason)
}

/// Returns the reason for a retry if the failure permits one.
fn retry_reason(failed: &FailedAttempt) -> Option<RetryReason> {
    let kind = failed.refusal.kind;
    if is_overload(kind) {
        return None;
    }
    match failed.run_state {
        RunState::NotRun => reason_if_not_run(kind),
        RunState::Unknown if failed.idempotency == Idempotency::Idempotent => {
            reason_if_unknown(kind, failed.silent)
        }
        RunState::Unknown | RunState::Ran => None,
    }
}

fn reason_if_not_run(kind: ErrorKind) -> Option<RetryReason> {
    match kind {
        ErrorKind::ConnectFailed | ErrorKind::ConnectionLost => Some(RetryReason::ConnectFailed),
        ErrorKind::HomeMoved => Some(RetryReason::HomeMoved),
        ErrorKind::TargetDraining
        | ErrorKind::NodeDraining
        | ErrorKind::NoTarget
        | ErrorKind::OtherService
        | ErrorKind::RefusedByNode
        | ErrorKind::BackendShed => Some(RetryReason::RefusedNotRun),
        _ => None,
    }
}

fn reason_if_unknown(kind: ErrorKind, silent: bool) -> Option<RetryReason> {
    match kind {
        ErrorKind::ConnectionLost if silent => Some(RetryReason::Superseded),
        ErrorKind::ConnectionLost => Some(RetryReason::ConnectionLost),
        _ => None,
    }
}

/// Returns the refusal whose kind matches the known run state.
fn accurate_refusal(failed: &FailedAttempt) -> Refusal {
    let not_run = failed.run_state == RunState::NotRun;
    match failed.refusal.kind {
        ErrorKind::ConnectionLost if not_run => Refusal {
            kind: ErrorKind::ConnectFailed,
            ..failed.refusal
        },
        _ => failed.refusal,
    }
}
