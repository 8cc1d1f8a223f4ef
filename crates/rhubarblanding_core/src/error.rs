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

/// Nodes that may decide on an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decider {
    /// The node at which the request entered, from its own document or configuration. Another node may
    /// have another service, version or release, and knows less of the request.
    Entry,
    /// Every node on the way of the request.
    AnyNode,
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
    /// Nodes that may decide on it.
    pub decider: Decider,
    /// Name of the counter.
    pub counter: &'static str,
    /// Message for the caller, one sentence.
    pub message: &'static str,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:literal, $run:ident, $advice:ident, $decider:ident, $counter:literal, $message:literal;)*) => {
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
                        decider: Decider::$decider,
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
    InvalidRequest => 400, NotRun, Never, Entry, "refused.invalid_request", "The request is malformed.";
    /// The caller's protocol version cannot signal that an answer was truncated.
    ProtocolTooOld => 505, NotRun, Never, Entry, "refused.protocol_too_old", "HTTP/1.1 or HTTP/2 is required.";
    /// The idempotency key is not a UUID of version 7.
    InvalidKey => 400, NotRun, Never, Entry, "refused.invalid_key", "The idempotency key must be a UUID of version 7.";
    /// The idempotency key was minted later than the node's clock allows.
    KeyFromFuture => 400, NotRun, Never, AnyNode, "refused.key_from_future", "The idempotency key was minted in the future; check the caller's clock.";
    /// The idempotency key belongs to another request.
    KeyConflict => 422, NotRun, Never, AnyNode, "refused.key_conflict", "The idempotency key was used for a different request.";
    /// No ticket names the service.
    UnknownService => 404, NotRun, Never, Entry, "refused.unknown_service", "No such service.";
    /// No route of the configuration matches host and path.
    UnknownRoute => 404, NotRun, Never, Entry, "refused.unknown_route", "No such route.";
    /// The route of the request, or possibly its route, has a fault in the configuration.
    UnusableRoute => 503, NotRun, After, Entry, "refused.unusable_route", "The route has a fault in the configuration.";
    /// No account holds the credential of the request, or it has none.
    UnknownCredential => 401, NotRun, Never, Entry, "refused.unknown_credential", "No client account has this key.";
    /// The account of the credential, or possibly its account, has a fault in the configuration.
    UnusableAccount => 503, NotRun, After, Entry, "refused.unusable_account", "The client account has a fault in the configuration.";
    /// The node does not know whether its configuration is the newest, so the key of the request may
    /// have been added or withdrawn.
    AccountsOutdated => 503, NotRun, After, Entry, "refused.accounts_outdated", "The node's knowledge of client accounts is outdated.";
    /// The request, or one with the same content, ran when several targets crashed.
    CrashesTargets => 503, NotRun, After, AnyNode, "refused.crashes_targets", "Requests with this content crashed several backend servers.";
    /// The node has not read a configuration yet.
    NoConfiguration => 503, NotRun, After, Entry, "refused.no_configuration", "The node has no configuration yet.";
    /// No route of the active version matches host and path, but the node does not know whether that
    /// version is the newest.
    ConfigurationOutdated => 503, NotRun, After, Entry, "refused.configuration_outdated", "The node's configuration may be outdated.";
    /// The body is larger than allowed for its kind.
    BodyTooLarge => 413, NotRun, Never, Entry, "refused.body_too_large", "The request body is too large.";
    /// The target's node sheds load of this priority.
    Overloaded => 503, NotRun, After, AnyNode, "refused.overloaded", "Shed because of overload.";
    /// An entry node sheds load because a service further down the call chain is overloaded.
    UpstreamOverloaded => 503, NotRun, After, Entry, "refused.upstream_overloaded", "Shed because a service of the chain is overloaded.";
    /// The request waited in the queue for too long.
    QueueTimeout => 503, NotRun, After, AnyNode, "refused.queue_timeout", "Shed after waiting in the queue.";
    /// The caller exceeds the rate limit for retries sent earlier than an answer advised.
    CallerThrottled => 429, NotRun, After, Entry, "refused.caller_throttled", "Repeated before the time given.";
    /// The account sends more than its quota over all nodes.
    QuotaExceeded => 429, NotRun, After, Entry, "refused.quota_exceeded", "The account is beyond its quota.";
    /// No node that keeps the account's quota could be asked.
    QuotaUnknown => 503, NotRun, After, Entry, "refused.quota_unknown", "The account's quota cannot be checked at the moment.";
    /// The deadline passed, or cannot be met, before the request ran.
    DeadlineBeforeRun => 504, NotRun, After, AnyNode, "refused.deadline_before_run", "The deadline cannot be met.";
    /// The deadline passed while the request may have been running.
    DeadlineExceeded => 504, Unknown, SameKeyAfter, AnyNode, "refused.deadline_exceeded", "The deadline passed before the answer came.";
    /// No target of the service takes requests.
    NoTarget => 503, NotRun, After, AnyNode, "refused.no_target", "No target of the service takes requests.";
    /// The target's address belongs to another service now.
    OtherService => 503, NotRun, After, AnyNode, "refused.other_service", "The target's address belongs to another service.";
    /// The target's node refused the request for a reason that only the entry node may give.
    RefusedByNode => 503, NotRun, After, AnyNode, "refused.refused_by_node", "The target's node refused the request.";
    /// The target is draining.
    TargetDraining => 503, NotRun, After, AnyNode, "refused.target_draining", "The target is leaving.";
    /// The node is stopping.
    NodeDraining => 503, NotRun, After, AnyNode, "refused.node_draining", "The node is stopping.";
    /// The sender's document is older and declares a non-idempotent request idempotent.
    StaleDocument => 503, NotRun, After, AnyNode, "refused.stale_document", "A newer ticket is not in force at every node yet.";
    /// No connection could be opened.
    ConnectFailed => 503, NotRun, After, AnyNode, "refused.connect_failed", "No connection to the target.";
    /// The connection broke after the request may have been sent.
    ConnectionLost => 502, Unknown, SameKeyAfter, AnyNode, "refused.connection_lost", "The connection to the target was lost.";
    /// The call is a retry, and the retry allowance of its request is used up.
    RetryExhausted => 503, NotRun, Never, AnyNode, "refused.retry_exhausted", "The retry allowance of the request is used up.";
    /// The backend server rejected the request without running it.
    BackendShed => 503, NotRun, After, AnyNode, "refused.backend_shed", "Shed by the backend server.";
    /// A request with this key was dispatched before, and its outcome is not known.
    OutcomeUnknown => 409, Unknown, SameKeyAfter, AnyNode, "refused.outcome_unknown", "The outcome of this idempotency key is not known.";
    /// A request with this key is running.
    KeyInProgress => 409, Unknown, SameKeyAfter, AnyNode, "refused.key_in_progress", "The idempotency key is running.";
    /// The nodes that decide on the key cannot be reached, so an earlier attempt may have run.
    HomeUnavailable => 503, Unknown, SameKeyAfter, AnyNode, "refused.home_unavailable", "The nodes that decide on this idempotency key cannot be reached.";
    /// The node that received the request does not decide on the key.
    HomeMoved => 503, NotRun, After, AnyNode, "refused.home_moved", "Another node decides on this idempotency key.";
    /// The outcome was recorded, but the answer is too large to be kept and repeated.
    AnswerNotKept => 409, Ran, Never, AnyNode, "refused.answer_not_kept", "The request ran; its answer is not kept.";
    /// A fault of the system itself.
    Internal => 500, Unknown, SameKeyAfter, AnyNode, "refused.internal", "A fault of the system.";
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

impl Refusal {
    /// Returns what another node's refusal means for the caller: that the request is at fault is for the
    /// entry node alone to say.
    pub fn from_other_node(self) -> Self {
        let kind = match (self.kind, self.kind.answer().decider) {
            (ErrorKind::UnknownService, _) => ErrorKind::OtherService,
            (_, Decider::Entry) => ErrorKind::RefusedByNode,
            (kind, Decider::AnyNode) => kind,
        };
        Self { kind, ..self }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.kind.answer().message)
    }
}

impl std::error::Error for Refusal {}
