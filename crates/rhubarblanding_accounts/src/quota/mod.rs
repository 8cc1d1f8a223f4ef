//! Quotas: limits of the requests that an account sends through all nodes together.
//!
//! Each account has a *home* among the nodes, by rendezvous hashing, which keeps a token bucket for
//! it. The nodes where its requests enter are *holders*: they ask the home for allotments, which
//! lapse after a short life. [`QuotaNode`] is both parts of one node.

mod contacts;
mod holder;
mod home;
mod message;
mod meter;
mod node;
mod order;

use std::time::Duration;

pub use contacts::{Contacts, Outcome};
pub use holder::{AllotmentState, Decision, Refused, Ticket};
pub use message::{Ask, AskMessage, Grant, NodeStatus, Reply, Verdict};
pub use node::{AskId, Output, QuotaNode, Unanswered, Usage};
pub use order::candidates;

/// Time from the sending of an ask after which its allotment lapses. It bounds what all holders
/// together can save up, and covers the gap between two requests of a busy account.
pub(crate) const ALLOTMENT_LIFE: Duration = Duration::from_millis(400);
/// Time of full rate for which two nodes may grant, or holders go on without a home, while the nodes
/// disagree about an account's home.
const OVERLAP: Duration = Duration::from_millis(1_000);
/// Part of the remaining excess that the bucket holds; the rest covers whole tokens at many holders.
const CAPACITY_SHARE: f64 = 0.8;
/// Part of the burst that a bucket holds in calm. The rest covers a node that begins to grant beside
/// the home right after a burst.
const CALM_BURST_SHARE: f64 = 0.7;
/// Part of the remaining excess with which a bucket starts at a new home, so that an account of few
/// requests doesn't wait for its first token.
const INITIAL_SHARE: f64 = 0.1;
/// Least part of the excess that the bucket holds, for bounds with little excess.
const CAPACITY_SHARE_MIN: f64 = 0.2;

/// Limit of one account over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Sustained number of requests per second, above 0.
    pub rate_per_s: f64,
    /// Requests that it may send at once beyond the sustained rate.
    pub burst: f64,
}

/// How closely quotas must be kept: in each window at most
/// `(rate_per_s * window + burst) * (1 + tolerance) + slack` requests of an account run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBound {
    /// Length of the sliding window.
    pub window: Duration,
    /// Share by which the limit may be exceeded.
    pub tolerance: f64,
    /// Requests by which the limit may be exceeded in addition.
    pub slack: f64,
}

impl QuotaBound {
    /// Returns the largest number of requests in one window.
    pub fn max_in_window(&self, quota: Quota) -> f64 {
        let sustained = quota.rate_per_s * self.window.as_secs_f64();
        (sustained + quota.burst) * (1.0 + self.tolerance) + self.slack
    }
}

/// Token bucket that keeps a quota within its bound, also while homes change.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
    rate_per_s: f64,
    /// Capacity while no other node can have granted lately.
    calm_capacity: f64,
    capacity: f64,
    initial: f64,
}

impl Limit {
    fn new(quota: Quota, bound: &QuotaBound) -> Self {
        let rate_per_s = quota.rate_per_s;
        let excess = bound.max_in_window(quota) - rate_per_s * bound.window.as_secs_f64();
        let reserved = rate_per_s * (ALLOTMENT_LIFE + OVERLAP).as_secs_f64();
        let left = (excess - reserved).max(excess * CAPACITY_SHARE_MIN);
        let capacity = (left * CAPACITY_SHARE).max(1.0);
        let lapsing = rate_per_s * ALLOTMENT_LIFE.as_secs_f64();
        Self {
            rate_per_s,
            calm_capacity: (quota.burst * CALM_BURST_SHARE)
                .min(excess - lapsing)
                .max(capacity),
            capacity,
            initial: left * INITIAL_SHARE,
        }
    }

    /// Returns the capacity; `settled` tells that no other node can have granted lately.
    fn capacity(&self, settled: bool) -> f64 {
        match settled {
            true => self.calm_capacity,
            false => self.capacity,
        }
    }
}

/// Switches with which tests disable mechanisms, to show that a check detects their absence.
///
/// Every field is `true` in production.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Allotments lapse.
    pub expiry: bool,
    /// A node that doesn't reach most others grants nothing.
    pub touch: bool,
    /// A deputy grants only while those ahead of it are known not to.
    pub evidence: bool,
    /// A holder asks a deputy if the home does not answer.
    pub deputies: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            expiry: true,
            touch: true,
            evidence: true,
            deputies: true,
        }
    }
}
