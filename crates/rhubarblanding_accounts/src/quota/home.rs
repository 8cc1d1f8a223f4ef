//! The home's side: a token bucket for each account.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::message::{Ask, Grant, Verdict};
use super::{Limit, Quota, QuotaBound};

/// Part of a bucket's level that may be granted ahead of requests. Under contention the level is
/// low, and whole requests are served before expected ones.
const SPARE_SHARE: f64 = 0.125;
/// Age up to which an empty bucket says nothing of the account, as it began empty.
const FILLING_TIME: Duration = Duration::from_millis(1_500);
/// Shortest time that a holder is told to wait for room.
const RETRY_MIN: Duration = Duration::from_millis(20);
/// Longest time that a holder is told to wait for room.
const RETRY_MAX: Duration = Duration::from_secs(5);
/// Time without an ask after which a bucket is dropped; it is full again long before.
const IDLE_MAX: Duration = Duration::from_secs(600);

#[derive(Clone, Debug)]
struct Bucket {
    limit: Limit,
    level: f64,
    /// Time up to which the level has been filled.
    at: MonoTime,
    /// Time at which this node began to grant; `None` while it does not.
    since: Option<MonoTime>,
    stopped_at: MonoTime,
    /// Time up to which refused requests were told to come back.
    promised: MonoTime,
    asked_at: MonoTime,
}

impl Bucket {
    fn fill(&mut self, now: MonoTime, scale: f64, settled: bool) {
        let passed = now.since(self.at).as_secs_f64();
        let filled = self.level + passed * self.limit.rate_per_s * scale;
        self.level = filled.min(self.limit.capacity(settled));
        self.at = self.at.max(now);
    }

    fn stop(&mut self, now: MonoTime) {
        if self.since.take().is_some() {
            self.stopped_at = now;
            self.level = 0.0;
        }
    }

    /// Returns the time until a refused request has room, and reserves that room: those that are
    /// refused together are told to come back one after the other.
    fn promise(&mut self, now: MonoTime, refused: u32) -> Duration {
        let each = Duration::from_secs_f64(1.0 / self.limit.rate_per_s.max(0.001));
        let next = self.promised.max(now) + each.min(RETRY_MAX);
        self.promised = (next
            + each
                .saturating_mul(refused.saturating_sub(1))
                .min(RETRY_MAX))
        .min(now + RETRY_MAX);
        now.until(next).clamp(RETRY_MIN, RETRY_MAX)
    }
}

/// Buckets of the accounts that this node grants for.
#[derive(Clone, Debug, Default)]
pub(super) struct Homes {
    buckets: HashMap<AccountKey, Bucket>,
    /// Time of the last event after which another node may have granted in this one's place.
    disturbed_at: MonoTime,
    last_grant: Option<MonoTime>,
}

impl Homes {
    /// Records that another node may have been home: new buckets begin nearly empty.
    pub(super) fn disturb(&mut self, now: MonoTime) {
        self.disturbed_at = now;
    }

    /// Stops granting for all accounts.
    pub(super) fn stop_all(&mut self, now: MonoTime) {
        self.disturbed_at = now;
        for bucket in self.buckets.values_mut() {
            bucket.stop(now);
        }
    }

    /// Stops granting for one account.
    pub(super) fn stop(&mut self, now: MonoTime, account: AccountKey) {
        if let Some(bucket) = self.buckets.get_mut(&account) {
            bucket.stop(now);
        }
    }

    /// Returns `true` if allotments were granted within `time`.
    pub(super) fn is_active(&self, now: MonoTime, time: Duration) -> bool {
        self.last_grant.is_some_and(|at| now.since(at) <= time)
    }

    pub(super) fn expire(&mut self, now: MonoTime) {
        self.buckets
            .retain(|_, bucket| now.since(bucket.asked_at) < IDLE_MAX);
    }

    /// Grants what the account has room for. `scale` is the part of the rate that this node may
    /// grant.
    pub(super) fn grant(
        &mut self,
        now: MonoTime,
        scale: f64,
        ask: Ask,
        quota: Quota,
        bound: &QuotaBound,
    ) -> Grant {
        self.last_grant = Some(now);
        let bucket = self.open(now, scale, ask.account, Limit::new(quota, bound));
        bucket.asked_at = now;
        let tokens = ask.needed.min(bucket.level as u32);
        bucket.level -= f64::from(tokens);
        let missing = ask.needed - tokens;
        let mut grant = Grant::elsewhere(ask.account, Verdict::Granted, None);
        grant.tokens = tokens;
        if missing == 0 {
            let spare = ask.spare.min((bucket.level * SPARE_SHARE) as u32);
            bucket.level -= f64::from(spare);
            grant.tokens += spare;
            return grant;
        }
        let is_new = bucket
            .since
            .is_some_and(|since| now.since(since) < FILLING_TIME);
        grant.verdict = match is_new {
            true => Verdict::Filling,
            false => Verdict::Exceeded,
        };
        grant.retry_ms = bucket.promise(now, missing).as_millis() as u32;
        grant
    }

    /// Returns the filled bucket of an account for which this node grants.
    fn open(
        &mut self,
        now: MonoTime,
        scale: f64,
        account: AccountKey,
        limit: Limit,
    ) -> &mut Bucket {
        let settled = now.since(self.disturbed_at) >= FILLING_TIME * 4;
        let bucket = self.buckets.entry(account).or_insert_with(|| Bucket {
            limit,
            level: 0.0,
            at: now,
            since: None,
            stopped_at: MonoTime::ZERO,
            promised: MonoTime::ZERO,
            asked_at: now,
        });
        match bucket.since {
            Some(_) => bucket.fill(now, scale, settled),
            None => {
                let is_first = bucket.stopped_at == MonoTime::ZERO;
                let long_ago = now.since(bucket.stopped_at) >= FILLING_TIME * 4;
                bucket.level = match (is_first && settled, is_first || long_ago) {
                    (true, _) => limit.capacity(true),
                    (false, true) => limit.initial,
                    (false, false) => 0.0,
                } * scale;
                bucket.at = now;
                // A bucket that begins full is no reason for an empty one.
                let filled = is_first && settled;
                bucket.since = Some(if filled { now - FILLING_TIME } else { now });
            }
        }
        bucket.limit = limit;
        bucket.level = bucket.level.min(limit.capacity(settled));
        bucket
    }
}
