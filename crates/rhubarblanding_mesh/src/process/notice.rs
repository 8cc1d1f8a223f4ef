//! Rate limit and departure that the local target announces in its answers.
//!
//! The node beside a target reads its answers first and applies the notices. Every other node that
//! received one keeps it and sends it along with its requests to that target, so that a node that was
//! restarted knows it before it admits the first of them.

use std::fmt;

use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::prelude::*;
use rhubarblanding_request::suspect::CrashId;

use crate::protocol::{Instance, RateNotice, RequestRate, TargetNotice};

/// Identifier of an instance in messages between nodes: a hash of its identifier and start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct InstanceKey(u64);

impl From<&Instance> for InstanceKey {
    fn from(instance: &Instance) -> Self {
        Self(stable_hash(instance.started_at.0, instance.id.0.as_bytes()))
    }
}

impl From<InstanceKey> for CrashId {
    fn from(key: InstanceKey) -> Self {
        Self(key.0)
    }
}

/// Notices of one instance, as nodes send them to each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedNotice {
    /// Instance that gave them.
    pub instance: InstanceKey,
    /// Requests that it takes from all nodes together.
    pub rate: Option<RequestRate>,
    /// `true` if it takes no new requests.
    pub leaving: bool,
}

impl SharedNotice {
    /// Returns `true` if nothing is in force.
    pub fn is_empty(&self) -> bool {
        self.rate.is_none() && !self.leaving
    }
}

impl fmt::Display for SharedNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x};{};", self.instance.0, u8::from(self.leaving))?;
        self.rate.map_or(Ok(()), |rate| rate.fmt(f))
    }
}

/// Error for text that is not a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidNotice;

impl TryFrom<&str> for SharedNotice {
    type Error = InvalidNotice;

    fn try_from(raw: &str) -> Result<Self, InvalidNotice> {
        let mut fields = raw.split(';');
        let mut next = || fields.next().ok_or(InvalidNotice);
        let instance = u64::from_str_radix(next()?, 16).map_err(|_| InvalidNotice)?;
        let leaving = match next()? {
            "0" => false,
            "1" => true,
            _ => return Err(InvalidNotice),
        };
        let rate = match next()? {
            "" => None,
            raw => Some(RequestRate::try_from(raw).map_err(|_| InvalidNotice)?),
        };
        Ok(Self {
            instance: InstanceKey(instance),
            rate,
            leaving,
        })
    }
}

/// Effect of a notice.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NoticeChange {
    /// New rate limit, if it changed; `Some(None)` if it ended.
    pub rate: Option<Option<RequestRate>>,
    /// `true` if the instance began to leave.
    pub began_leaving: bool,
}

/// Notices of the current instance of the local target.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoticeTracker {
    instance: Option<InstanceKey>,
    rate: Option<RequestRate>,
    /// Time at which the rate limit was last named.
    rate_named_at: MonoTime,
    /// `true` after an answer of the instance.
    is_heard: bool,
    leaving: bool,
}

impl NoticeTracker {
    /// Starts with an instance that has given no notice.
    pub fn new(instance: &Instance) -> Self {
        Self {
            instance: Some(instance.into()),
            ..Self::default()
        }
    }

    /// Applies the notices in an answer of `instance` to a request that was sent to it at `sent_at`.
    ///
    /// A limit ends with the first answer without one to a request that was sent after the limit
    /// had last been named: answers may overtake each other.
    pub fn observe(
        &mut self,
        now: MonoTime,
        instance: &Instance,
        sent_at: MonoTime,
        notice: TargetNotice,
    ) -> NoticeChange {
        if self.instance != Some(instance.into()) {
            return NoticeChange::default();
        }
        self.is_heard = true;
        let rate = match notice.rate {
            RateNotice::Limit(rate) => {
                self.rate_named_at = now;
                Some(rate)
            }
            RateNotice::None if sent_at > self.rate_named_at => None,
            RateNotice::None | RateNotice::Invalid => self.rate,
        };
        self.apply(rate, notice.leaving)
    }

    /// Applies the notices that another node received. This node's own knowledge of the rate limit
    /// is newer if it has received an answer of the instance.
    pub fn adopt(&mut self, now: MonoTime, notice: SharedNotice) -> NoticeChange {
        if self.instance != Some(notice.instance) {
            return NoticeChange::default();
        }
        let mut rate = self.rate;
        if !self.is_heard && notice.rate.is_some() {
            self.rate_named_at = now;
            rate = notice.rate;
        }
        self.apply(rate, notice.leaving)
    }

    fn apply(&mut self, rate: Option<RequestRate>, leaving: bool) -> NoticeChange {
        let change = NoticeChange {
            rate: (rate != self.rate).then_some(rate),
            began_leaving: leaving && !self.leaving,
        };
        self.rate = rate;
        self.leaving |= leaving;
        change
    }

    /// Returns the rate limit in force.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns `true` if the instance takes no new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the notices for a node that knows `known` of this target. A node whose knowledge is
    /// out of date is told that nothing is in force, but not before an answer has shown it.
    pub fn shared(&self, known: Option<SharedNotice>) -> Option<SharedNotice> {
        let notice = SharedNotice {
            instance: self.instance?,
            rate: self.rate,
            leaving: self.leaving,
        };
        let corrects = known.is_some() && self.is_heard;
        (!notice.is_empty() || corrects).then_some(notice)
    }
}

/// Maximum number of hosts whose notices a node keeps.
const KNOWN_MAX: usize = 4_096;

/// Latest notices of the targets that this node sent requests to.
#[derive(Clone, Debug, Default)]
pub struct KnownNotices {
    by_host: HashMap<HostId, (SharedNotice, MonoTime)>,
}

impl KnownNotices {
    /// Records the notices in a reply of the node on `host`; an empty one ends those before.
    pub fn learn(&mut self, now: MonoTime, host: HostId, notice: SharedNotice) {
        if notice.is_empty() {
            self.by_host.remove(&host);
            return;
        }
        if self.by_host.len() >= KNOWN_MAX && !self.by_host.contains_key(&host) {
            self.forget_oldest();
        }
        self.by_host.insert(host, (notice, now));
    }

    fn forget_oldest(&mut self) {
        let oldest = self.by_host.iter().min_by_key(|(_, (_, at))| *at);
        if let Some(host) = oldest.map(|(host, _)| *host) {
            self.by_host.remove(&host);
        }
    }

    /// Returns the notices to send along with a request to `host`.
    pub fn get(&self, host: HostId) -> Option<SharedNotice> {
        self.by_host.get(&host).map(|(notice, _)| *notice)
    }

    /// Returns the number of hosts with notices.
    pub fn len(&self) -> usize {
        self.by_host.len()
    }

    /// Returns `true` if no notices are known.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}
