//! Closed set of error kinds, each with its answer to the caller.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

/// Run state of a request at a backend server.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RunState {
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run, or may still be running.
    Unknown,
    /// The request ran.
    Ran,
}

/// Retry advice for the caller after an error.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RetryAdvice {
    /// Do not retry the request unchanged.
    Never,
    /// Retry after the given time.
    After,
    /// Retry with the same idempotency key after the given time, to learn the outcome.
    SameKeyAfter,
}

/// Answer to the caller and counter of an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Run state of the request.
    pub run_state: RunState,
    /// Retry advice for the caller.
    pub advice: RetryAdvice,
    /// Name of the counter.
    pub counter: &'static str,
    /// Message for the caller, one sentence.
    pub message: &'static str,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:literal, $run:ident, $advice:ident, $counter:literal, $message:literal;)*) => {
        /// Reason for which the system answers a request in place of a backend server.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumCount,
            EnumIter, EnumString, IntoStaticStr,
        )]
        #[serde(rename_all = "snake_case")]
        #[strum(serialize_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// Returns the answer for this kind.
            pub fn answer(self) -> Answer {
                match self {
                    $(Self::$kind => Answer {
                        status: $status,
                        run_state: RunState::$run,
                        advice: RetryAdvice::$advice,
                        counter: $counter,
                        message: $message,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The request is malformed.
    InvalidRequest => 400, NotRun, Never, "refused.invalid_request", "The request is malformed.";
    /// The caller's protocol version cannot signal that an answer was truncated.
    ProtocolTooOld => 505, NotRun, Never, "refused.protocol_too_old", "HTTP/1.1 or HTTP/2 is required.";
    /// The idempotency key is not a UUID of version 7.
    InvalidKey => 400, NotRun, Never, "refused.invalid_key", "The idempotency key must be a UUID of version 7.";
    /// The idempotency key was minted later than the node's clock allows.
    KeyFromFuture => 400, NotRun, Never, "refused.key_from_future", "The idempotency key was minted in the future; check the caller's clock.";
    /// The idempotency key belongs to another request.
    KeyConflict => 422, NotRun, Never, "refused.key_conflict", "The idempotency key was used for a different request.";
    /// No ticket names the service.
    UnknownService => 404, NotRun, Never, "refused.unknown_service", "No such service.";
    /// No route of the configuration matches host and path.
    UnknownRoute => 404, NotRun, Never, "refused.unknown_route", "No such route.";
    /// The route of the request, or possibly its route, has a fault in the configuration.
    UnusableRoute => 503, NotRun, After, "refused.unusable_route", "The route has a fault in the configuration.";
    /// No account holds the credential of the request, or it has none.
    UnknownCredential => 401, NotRun, Never, "refused.unknown_credential", "No client account has this key.";
    /// The account of the credential, or possibly its account, has a fault in the configuration.
    UnusableAccount => 503, NotRun, After, "refused.unusable_account", "The client account has a fault in the configuration.";
    /// The node does not know whether its configuration is the newest, so the key of the request may
    /// have been added or withdrawn.
    AccountsOutdated => 503, NotRun, After, "refused.accounts_outdated", "The node's knowledge of client accounts is outdated.";
    /// The request, or one with the same content, ran when several targets crashed.
    CrashesTargets => 503, NotRun, After, "refused.crashes_targets", "Requests with this content crashed several backend servers.";
    /// The node has not read a configuration yet.
    NoConfiguration => 503, NotRun, After, "refused.no_configuration", "The node has no configuration yet.";
    /// No route of the active version matches host and path, but the node does not know whether that
    /// version is the newest.
    ConfigurationOutdated => 503, NotRun, After, "refused.configuration_outdated", "The node's configuration may be outdated.";
    /// The body is larger than allowed for its kind.
    BodyTooLarge => 413, NotRun, Never, "refused.body_too_large", "The request body is too large.";
    /// The target's node sheds load of this priority.
    Overloaded => 503, NotRun, After, "refused.overloaded", "Shed because of overload.";
    /// An entry node sheds load because a service further down the call chain is overloaded.
    UpstreamOverloaded => 503, NotRun, After, "refused.upstream_overloaded", "Shed because a service of the chain is overloaded.";
    /// The request waited in the queue for too long.
    QueueTimeout => 503, NotRun, After, "refused.queue_timeout", "Shed after waiting in the queue.";
    /// The caller exceeds the rate limit for retries sent earlier than an answer advised.
    CallerThrottled => 429, NotRun, After, "refused.caller_throttled", "Repeated before the time given.";
    /// The account sends more than its quota over all nodes.
    QuotaExceeded => 429, NotRun, After, "refused.quota_exceeded", "The account is beyond its quota.";
    /// No node that keeps the account's quota could be asked.
    QuotaUnknown => 503, NotRun, After, "refused.quota_unknown", "The account's quota cannot be checked at the moment.";
    /// The deadline passed, or cannot be met, before the request ran.
    DeadlineBeforeRun => 504, NotRun, After, "refused.deadline_before_run", "The deadline cannot be met.";
    /// The deadline passed while the request may have been running.
    DeadlineExceeded => 504, Unknown, SameKeyAfter, "refused.deadline_exceeded", "The deadline passed before the answer came.";
    /// No target of the service takes requests.
    NoTarget => 503, NotRun, After, "refused.no_target", "No target of the service takes requests.";
    /// The target is draining.
    TargetDraining => 503, NotRun, After, "refused.target_draining", "The target is leaving.";
    /// The node is stopping.
    NodeDraining => 503, NotRun, After, "refused.node_draining", "The node is stopping.";
    /// The sender's document is older and declares a non-idempotent request idempotent.
    StaleDocument => 503, NotRun, After, "refused.stale_document", "A newer ticket is not in force at every node yet.";
    /// No connection could be opened.
    ConnectFailed => 503, NotRun, After, "refused.connect_failed", "No connection to the target.";
    /// The connection broke after the request may have been sent.
    ConnectionLost => 502, Unknown, SameKeyAfter, "refused.connection_lost", "The connection to the target was lost.";
    /// The call is a retry, and the retry allowance of its request is used up.
    RetryExhausted => 503, NotRun, Never, "refused.retry_exhausted", "The retry allowance of the request is used up.";
    /// The backend server rejected the request without running it.
    BackendShed => 503, NotRun, After, "refused.backend_shed", "Shed by the backend server.";
    /// A request with this key was dispatched before, and its outcome is not known.
    OutcomeUnknown => 409, Unknown, SameKeyAfter, "refused.outcome_unknown", "The outcome of this idempotency key is not known.";
    /// A request with this key is running.
    KeyInProgress => 409, Unknown, SameKeyAfter, "refused.key_in_progress", "The idempotency key is running.";
    /// The nodes that decide on the key cannot be reached, so an earlier attempt may have run.
    HomeUnavailable => 503, Unknown, SameKeyAfter, "refused.home_unavailable", "The nodes that decide on this idempotency key cannot be reached.";
    /// The node that received the request does not decide on the key.
    HomeMoved => 503, NotRun, After, "refused.home_moved", "Another node decides on this idempotency key.";
    /// The outcome was recorded, but the answer is too large to be kept and repeated.
    AnswerNotKept => 409, Ran, Never, "refused.answer_not_kept", "The request ran; its answer is not kept.";
    /// A fault of the system itself.
    Internal => 500, Unknown, SameKeyAfter, "refused.internal", "A fault of the system.";
}

impl std::error::Error for ErrorKind {}

/// Error kind with the time after which the caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub kind: ErrorKind,
    /// Time that the caller should wait before a retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    pub fn new(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }

    /// Creates a refusal with a retry delay.
    pub fn with_retry_after(kind: ErrorKind, retry_after: Duration) -> Self {
        Self {
            kind,
            retry_after: Some(retry_after),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.kind.answer().message)
    }
}

impl std::error::Error for Refusal {}
