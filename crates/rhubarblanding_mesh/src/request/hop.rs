//! Messages about a request between the entry node and the node beside the target.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Response, Uri};
use rhubarblanding_admission::slots::KindKey;
use rhubarblanding_core::prelude::*;
use rhubarblanding_request::suspect::CrashId;
use strum::{Display, EnumString};

use crate::connection::Payload;
use crate::process::SharedNotice;

/// Header of a request between nodes; its value is a [`HopHeader`].
pub(crate) const REQUEST_HEADER: &str = "rb-hop";
/// Header of an answer between nodes; its value is a [`HopStatus`].
pub(crate) const ANSWER_HEADER: &str = "rb-result";

/// Header of requests and answers between nodes; its value is a [`SharedNotice`] of the target.
pub(crate) const NOTICE_HEADER: &str = "rb-notice";

/// Header of an answer between nodes; its value is the [`CrashId`] of the crash that ended the run.
pub(crate) const CRASH_HEADER: &str = "rb-crash";

/// Path of records of requests that crash targets.
pub(crate) const SUSPECTS_PATH: &str = "/suspects";
/// Path of questions for the freshness of the configuration.
pub(crate) const FRESHNESS_PATH: &str = "/freshness";
/// Path of asks for allotments of quotas.
pub(crate) const QUOTA_PATH: &str = "/quota";
/// Path of messages about departures.
pub(crate) const DEPARTURES_PATH: &str = "/departures";
/// Path of messages of stopping nodes.
pub(crate) const STOP_PATH: &str = "/stopping";
/// Path of membership messages.
pub(crate) const GOSSIP_PATH: &str = "/membership";

/// Properties of a request that the entry node sends with it. Times are remaining times, so that
/// clocks need not agree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopHeader {
    /// Service that runs the request.
    pub service: ServiceName,
    /// Time after which the answer is useless.
    pub deadline: Duration,
    /// Time within which an answer has its full value.
    pub objective: Duration,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Client account of the first request of the chain.
    pub account: AccountKey,
    /// Kind of the request.
    pub kind: KindKey,
    /// `true` if the request is a call made by another request.
    pub is_call: bool,
    /// `true` if the request, or one that it descends from, is a retry.
    pub repeated: bool,
    /// Calls that the requests it descends from are expected to make after it.
    pub calls_left: u32,
    /// `Host` header of the client's request.
    pub host: String,
}

impl fmt::Display for HopHeader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{};{};{};{};{:x};{:x};{}{};{};{}",
            self.service,
            self.deadline.as_millis(),
            self.objective.as_millis(),
            self.rank,
            self.account.0,
            self.kind.0,
            u8::from(self.is_call),
            u8::from(self.repeated),
            self.calls_left,
            self.host
        )
    }
}

/// Error for a header that does not have the format in which nodes write it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidHop;

impl TryFrom<&str> for HopHeader {
    type Error = InvalidHop;

    fn try_from(raw: &str) -> Result<Self, InvalidHop> {
        let mut fields = raw.splitn(9, ';');
        let mut next = || fields.next().ok_or(InvalidHop);
        let service = ServiceName::try_from(next()?).map_err(|_| InvalidHop)?;
        let deadline = millis(next()?)?;
        let objective = millis(next()?)?;
        let rank = next()?.parse().map_err(|_| InvalidHop)?;
        let account = hexadecimal(next()?)?;
        let kind = hexadecimal(next()?)?;
        let (is_call, repeated) = flags(next()?)?;
        let calls_left = next()?.parse().map_err(|_| InvalidHop)?;
        Ok(Self {
            service,
            deadline,
            objective,
            rank,
            account: AccountKey(account),
            kind: KindKey(kind),
            is_call,
            repeated,
            calls_left,
            host: next()?.to_owned(),
        })
    }
}

fn flags(raw: &str) -> Result<(bool, bool), InvalidHop> {
    match raw.as_bytes() {
        [is_call @ (b'0' | b'1'), repeated @ (b'0' | b'1')] => {
            Ok((*is_call == b'1', *repeated == b'1'))
        }
        _ => Err(InvalidHop),
    }
}

fn hexadecimal(raw: &str) -> Result<u64, InvalidHop> {
    u64::from_str_radix(raw, 16).map_err(|_| InvalidHop)
}

fn millis(raw: &str) -> Result<Duration, InvalidHop> {
    raw.parse()
        .map(Duration::from_millis)
        .map_err(|_| InvalidHop)
}

/// Request that is sent to the node beside a target.
#[derive(Clone, Debug)]
pub struct HopRequest {
    /// Properties set by the entry node.
    pub header: HopHeader,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without those that concern one connection only.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What the sender knows of the target's notices.
    pub notice: Option<SharedNotice>,
}

/// Result of a request at the node beside the target, as it is sent to the entry node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum HopResult {
    /// The target answered; the message is its answer.
    Answered,
    /// The request was not sent to the target.
    Refused,
    /// The target refused the request without running it.
    Shed,
    /// The request was sent, and no usable answer arrived.
    Lost,
}

impl HopResult {
    /// Returns the kind of error that stands for one that this version does not know.
    fn unnamed_kind(self) -> ErrorKind {
        match self {
            Self::Refused | Self::Shed => ErrorKind::RefusedByNode,
            Self::Answered | Self::Lost => ErrorKind::ConnectionLost,
        }
    }
}

/// Result of a request and load of the target, as the node beside the target reports them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HopStatus {
    /// Result of the request.
    pub result: HopResult,
    /// Refusal, or the reason for a lost answer; without meaning if the target answered.
    pub refusal: Refusal,
    /// `true` if the target failed because a call that it made had failed.
    pub call_failed: bool,
    /// Load of the target.
    pub load: LoadReport,
}

impl fmt::Display for HopStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let retry_ms = self
            .refusal
            .retry_after
            .map_or(0, |after| after.as_millis());
        let load = &self.load;
        write!(
            f,
            "{};{};{retry_ms};{};{};{};{};{};{}",
            self.result,
            self.refusal.kind,
            load.in_flight,
            load.queued,
            load.limit,
            u8::from(load.draining),
            u8::from(self.call_failed),
            load.hold_us
        )
    }
}

impl TryFrom<&str> for HopStatus {
    type Error = InvalidHop;

    fn try_from(raw: &str) -> Result<Self, InvalidHop> {
        let mut fields = raw.split(';');
        let mut next = || fields.next().ok_or(InvalidHop);
        let result: HopResult = next()?.parse().map_err(|_| InvalidHop)?;
        // Nodes of later versions may know more kinds.
        let kind = next()?.parse().unwrap_or(result.unnamed_kind());
        let retry_after = millis(next()?)?;
        let mut number = || next()?.parse::<u32>().map_err(|_| InvalidHop);
        let load = LoadReport {
            in_flight: number()?,
            queued: number()?,
            limit: number()?,
            draining: number()? != 0,
            ..LoadReport::default()
        };
        let call_failed = number()? != 0;
        // Nodes of earlier versions do not send it.
        let hold_us = match fields.next() {
            Some(raw) => raw.parse().map_err(|_| InvalidHop)?,
            None => 0,
        };
        Ok(Self {
            result,
            refusal: Refusal {
                kind,
                retry_after: (!retry_after.is_zero()).then_some(retry_after),
            },
            call_failed,
            load: LoadReport { hold_us, ..load },
        })
    }
}

/// Outcome of a request at one target.
pub enum HopOutcome {
    /// The target answered.
    Answered(Response<Payload>),
    /// The request was not sent to the target.
    Refused(Refusal),
    /// The target refused the request without running it.
    Shed(Refusal),
    /// The request may have run, and no usable answer arrived.
    Lost(ErrorKind),
}

impl HopOutcome {
    /// Returns the outcome as the entry node may tell it to the client: whether the request is at fault
    /// is for the entry node to say, and whether it ran follows from the outcome alone.
    pub fn for_client(self) -> Self {
        match self {
            Self::Answered(resp) => Self::Answered(resp),
            Self::Refused(refusal) => Self::Refused(not_run(refusal)),
            Self::Shed(refusal) => Self::Shed(not_run(refusal)),
            Self::Lost(kind) => Self::Lost(match kind.answer().status {
                500 | 502 | 504 if kind.answer().run_state == RunState::Unknown => kind,
                _ => ErrorKind::ConnectionLost,
            }),
        }
    }
}

fn not_run(refusal: Refusal) -> Refusal {
    let told = refusal.from_other_node();
    let answer = told.kind.answer();
    let is_plain = answer.run_state == RunState::NotRun && matches!(answer.status, 503 | 504);
    match is_plain {
        true => told,
        false => Refusal {
            kind: ErrorKind::RefusedByNode,
            ..told
        },
    }
}

/// Outcome of a request at one target, and the target's load if it was reported.
pub struct HopReply {
    /// Outcome of the request.
    pub outcome: HopOutcome,
    /// `true` if the target failed because a call that it made had failed.
    pub call_failed: bool,
    /// Load of the target.
    pub load: Option<LoadReport>,
    /// Notices of the target, if the receiver must learn them.
    pub notice: Option<SharedNotice>,
    /// Crash of the target that ended the run.
    pub crash: Option<CrashId>,
}

/// Removes the notice from the headers of a message between nodes.
pub(super) fn take_notice(headers: &mut HeaderMap) -> Option<SharedNotice> {
    let value = headers.remove(NOTICE_HEADER)?;
    let notice = value
        .to_str()
        .ok()
        .and_then(|raw| SharedNotice::try_from(raw).ok());
    if notice.is_none() {
        log::warn!(value:? = value; "notice_invalid");
    }
    notice
}

/// Adds a notice to the headers of a message between nodes.
pub(super) fn set_notice(headers: &mut HeaderMap, notice: Option<SharedNotice>) {
    let value = notice.and_then(|notice| HeaderValue::try_from(notice.to_string()).ok());
    if let Some(value) = value {
        headers.insert(NOTICE_HEADER, value);
    }
}

/// Removes the identifier of a crash from the headers of an answer between nodes.
pub(super) fn take_crash(headers: &mut HeaderMap) -> Option<CrashId> {
    let value = headers.remove(CRASH_HEADER)?;
    let id = value.to_str().ok();
    let id = id.and_then(|raw| u64::from_str_radix(raw, 16).ok());
    if id.is_none() {
        log::warn!(value:? = value; "crash_invalid");
    }
    id.map(CrashId)
}

/// Adds the identifier of a crash to the headers of an answer between nodes.
pub(super) fn set_crash(headers: &mut HeaderMap, crash: Option<CrashId>) {
    let value = crash.and_then(|crash| HeaderValue::try_from(format!("{:x}", crash.0)).ok());
    if let Some(value) = value {
        headers.insert(CRASH_HEADER, value);
    }
}
