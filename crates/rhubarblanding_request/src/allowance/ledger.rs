//! Ledger of the requests at one node and of the retries left to each.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use rand::Rng;
use rhubarblanding_core::prelude::*;
use slotmap::SlotMap;

use super::{CallDigest, CallStart, LendShare, Token};
use crate::context::RequestContext;
use crate::reason::{RetryCounts, RetryReason};

slotmap::new_key_type! {
    /// Key of a request in an [`AllowanceLedger`].
    pub struct RequestKey;
}

/// Settings of an [`AllowanceLedger`].
#[derive(Clone, Debug)]
pub struct AllowanceSettings {
    /// Share of the allowance lent with one downstream call.
    pub share: LendShare,
    /// Time for which a closed request is kept, so that its repeats are still detected.
    pub closed_retention: Duration,
    /// Maximum number of closed requests that are kept.
    pub closed_max: usize,
    /// Maximum number of distinct downstream calls of one request.
    pub calls_max: usize,
    /// `true` if lent retries are deducted from the lender. Off only in tests of the test oracle.
    pub deduct_lent: bool,
    /// `true` if repeats by the backend server are charged. Off only in tests of the test oracle.
    pub charge_repeats: bool,
}

impl Default for AllowanceSettings {
    fn default() -> Self {
        Self {
            share: LendShare::default(),
            closed_retention: Duration::from_secs(30),
            closed_max: 16_384,
            calls_max: 4_096,
            deduct_lent: true,
            charge_repeats: true,
        }
    }
}

/// Error for a request that has no retry left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

impl fmt::Display for Exhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no retry is left")
    }
}

impl std::error::Error for Exhausted {}

/// Part of an allowance that is lent with one downstream call.
///
/// It can be neither copied nor split, so it is given back at most once. If it is dropped, the
/// lent retries count as spent.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "lent retries count as spent unless they are given back"]
pub struct Lent {
    lender: RequestKey,
    amount: u8,
}

impl Lent {
    /// Returns the number of retries lent with the call.
    pub fn amount(&self) -> u8 {
        self.amount
    }

    /// Returns the request that lent it.
    pub fn lender(&self) -> RequestKey {
        self.lender
    }
}

#[derive(Debug)]
struct Entry {
    context: RequestContext,
    token: Token,
    left: u8,
    open: bool,
    calls: HashSet<CallDigest>,
}

#[derive(Clone, Copy, Debug)]
struct Closed {
    key: RequestKey,
    forget_at: MonoTime,
}

/// Requests that run at one node, with the retries that each may still cause.
///
/// Over a call tree the sum of the retries left, lent and spent never grows: lending deducts from
/// the lender, which gets back at most as many as it lent.
///
/// ```
/// use std::time::Duration;
///
/// use rand::SeedableRng;
/// use rand::rngs::SmallRng;
/// use rhubarblanding_core::prelude::*;
/// use rhubarblanding_request::prelude::*;
///
/// let now = MonoTime::ZERO;
/// let deadline = now + Duration::from_secs(1);
/// let cx = RequestContext::new(
///     RootId(1),
///     Importance::Normal,
///     deadline,
///     Idempotency::Idempotent,
/// );
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut ledger = AllowanceLedger::new(AllowanceSettings::default());
///
/// let key = ledger.open(&mut rng, cx, 3);
/// let lent = ledger.lend(key);
/// assert_eq!((lent.amount(), ledger.left(key)), (2, 1));
/// // The answer of the call reports that one of the two was spent.
/// ledger.give_back(lent, 1);
/// assert_eq!(ledger.close(now, key), 2);
/// ```
#[derive(Debug, Default)]
pub struct AllowanceLedger {
    settings: AllowanceSettings,
    entries: SlotMap<RequestKey, Entry>,
    by_token: HashMap<Token, RequestKey>,
    closed: VecDeque<Closed>,
    counts: RetryCounts,
}

impl AllowanceLedger {
    /// Creates an empty ledger.
    pub fn new(settings: AllowanceSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Opens a request that may cause `allowance` retries.
    pub fn open(
        &mut self,
        rng: &mut impl Rng,
        context: RequestContext,
        allowance: u8,
    ) -> RequestKey {
        let token = Token::random(rng);
        let key = self.entries.insert(Entry {
            context,
            token,
            left: allowance,
            open: true,
            calls: HashSet::default(),
        });
        self.by_token.insert(token, key);
        key
    }

    /// Returns the token that the backend server of the request echoes.
    pub fn token(&self, key: RequestKey) -> Option<Token> {
        self.entries.get(key).map(|entry| entry.token)
    }

    /// Returns the request identified by `token`, `None` for a forged or removed token.
    ///
    /// A closed request is found for as long as it is kept; it has no retries left.
    pub fn find(&self, token: Token) -> Option<RequestKey> {
        self.by_token.get(&token).copied()
    }

    /// Returns the context of a request.
    pub fn context(&self, key: RequestKey) -> Option<&RequestContext> {
        self.entries.get(key).map(|entry| &entry.context)
    }

    /// Returns `true` if the request is open.
    pub fn is_open(&self, key: RequestKey) -> bool {
        self.entries.get(key).is_some_and(|entry| entry.open)
    }

    /// Returns the retries left to the request, without those lent out.
    pub fn left(&self, key: RequestKey) -> u8 {
        self.entries.get(key).map_or(0, |entry| entry.left)
    }

    /// Returns the number of open requests.
    pub fn open_len(&self) -> usize {
        self.entries.len() - self.closed.len()
    }

    /// Lends part of the allowance to one downstream call.
    pub fn lend(&mut self, key: RequestKey) -> Lent {
        self.lend_share(key, self.settings.share)
    }

    /// Lends `share` of the allowance to one downstream call, in place of the share of the
    /// settings.
    ///
    /// Use [`LendShare::Nothing`] for a service that makes no calls of its own: it has no use for
    /// retries, and they would be lost with a lost answer.
    pub fn lend_share(&mut self, key: RequestKey, share: LendShare) -> Lent {
        let amount = match self.entries.get_mut(key) {
            Some(entry) => {
                let amount = share.of(entry.left);
                if self.settings.deduct_lent {
                    entry.left -= amount;
                }
                amount
            }
            None => 0,
        };
        Lent {
            lender: key,
            amount,
        }
    }

    /// Adds the retries returned with an answer to the lender's allowance, at most as many as were
    /// lent.
    ///
    /// Nothing is added if the request was closed in the meantime.
    pub fn give_back(&mut self, lent: Lent, returned: u8) {
        if !self.settings.deduct_lent {
            return;
        }
        if let Some(entry) = self.entries.get_mut(lent.lender)
            && entry.open
        {
            entry.left = entry.left.saturating_add(returned.min(lent.amount));
        }
    }

    /// Takes one retry from the allowance.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if no retry is left or the request is closed.
    pub fn spend(&mut self, key: RequestKey, reason: RetryReason) -> Result<(), Exhausted> {
        let entry = self.entries.get_mut(key).ok_or(Exhausted)?;
        entry.left = entry.left.checked_sub(1).ok_or(Exhausted)?;
        self.counts.add(reason);
        Ok(())
    }

    /// Returns the retries counted since the last call and resets the counts.
    pub fn take_counts(&mut self) -> RetryCounts {
        std::mem::take(&mut self.counts)
    }

    /// Records that the backend server of the request starts a downstream call.
    ///
    /// A call that the request has made before is charged as a retry.
    pub fn begin_call(&mut self, key: RequestKey, call: CallDigest) -> CallStart {
        let Some(entry) = self.entries.get_mut(key) else {
            return CallStart::Refused;
        };
        let repeated = entry.calls.contains(&call);
        if !repeated && entry.calls.len() >= self.settings.calls_max {
            return CallStart::Refused;
        }
        if !repeated {
            entry.calls.insert(call);
            return CallStart::First;
        }
        if !self.settings.charge_repeats {
            return CallStart::Repeat;
        }
        match self.spend(key, RetryReason::BackendRepeat) {
            Ok(()) => CallStart::Repeat,
            Err(Exhausted) => CallStart::Refused,
        }
    }

    /// Closes a request and returns its remaining retries, to be sent with its answer.
    pub fn close(&mut self, now: MonoTime, key: RequestKey) -> u8 {
        let left = match self.entries.get_mut(key) {
            Some(entry) if entry.open => {
                entry.open = false;
                std::mem::take(&mut entry.left)
            }
            _ => return 0,
        };
        let forget_at = now + self.settings.closed_retention;
        self.closed.push_back(Closed { key, forget_at });
        self.forget_closed(now);
        left
    }

    /// Removes the closed requests whose retention time is over, and the oldest ones above
    /// [`AllowanceSettings::closed_max`].
    ///
    /// [`close`](Self::close) does this as well.
    pub fn forget_closed(&mut self, now: MonoTime) {
        while let Some(oldest) = self.closed.front() {
            let too_many = self.closed.len() > self.settings.closed_max;
            if !too_many && oldest.forget_at > now {
                return;
            }
            self.forget(oldest.key);
            self.closed.pop_front();
        }
    }

    fn forget(&mut self, key: RequestKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.by_token.remove(&entry.token);
        }
    }
}
