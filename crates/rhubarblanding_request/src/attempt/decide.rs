//! Decision whether a failed attempt is followed by another.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use crate::budget::{BudgetState, is_overload};
use crate::reason::RetryReason;

/// What is known after an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the request may run twice.
    pub idempotency: Idempotency,
    /// How the attempt failed.
    pub refusal: Refusal,
    /// Whether it ran. It may say more than the kind's own run state, never less.
    pub run_state: RunState,
    /// Whether the connection went silent without being closed.
    pub silent: bool,
    /// Retries left to the request.
    pub allowance: u8,
    /// Budget of the destination.
    pub budget: BudgetState,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Time that an attempt takes at least.
    pub min_attempt_time: Duration,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request again. The caller of this function spends the retry.
    Retry(RetryReason),
    /// Answer the request with this refusal.
    GiveUp(Refusal),
}

/// Decides what follows a failed attempt.
///
/// A non-idempotent request is sent again only if it did not run. Answers that say that a service
/// of the chain is overloaded are passed on unchanged.
///
/// Ask only about failures between this node and the target. A failure further down that the
/// backend server passed up is its answer: sending it again here as well would multiply the
/// retries over the layers.
pub fn next_step(failed: &FailedAttempt) -> NextStep {
    let give_up = NextStep::GiveUp(truthful(failed));
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

/// Reason for which the failure may be followed by another attempt, if there is one.
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

/// The refusal that says neither more nor less than is known of the run state.
fn truthful(failed: &FailedAttempt) -> Refusal {
    let not_run = failed.run_state == RunState::NotRun;
    match failed.refusal.kind {
        ErrorKind::ConnectionLost if not_run => Refusal {
            kind: ErrorKind::ConnectFailed,
            ..failed.refusal
        },
        _ => failed.refusal,
    }
}
