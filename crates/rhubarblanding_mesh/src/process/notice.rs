//! Rate limit and departure that the local target announces in its answers.

use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::prelude::*;

use crate::protocol::{Instance, RateNotice, RequestRate, TargetNotice};

/// Hash of an instance's identifier and start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct InstanceKey(u64);

impl From<&Instance> for InstanceKey {
    fn from(instance: &Instance) -> Self {
        Self(stable_hash(instance.started_at.0, instance.id.0.as_bytes()))
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
}
