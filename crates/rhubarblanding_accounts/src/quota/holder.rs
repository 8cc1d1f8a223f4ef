//! The holder's side: allotments, and requests that wait for one.

use std::collections::VecDeque;
use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::message::{Ask, Grant, Verdict};
use super::meter::Meter;
use super::{ALLOTMENT_LIFE, Mechanisms, Quota};

/// Longest time that a request waits for an allotment: a lost ask and one to a deputy. Longer would
/// use up the time that the request has to run.
const WAIT_MAX: Duration = Duration::from_millis(350);
/// Longest time for which a refusal of the home is repeated without asking it again. Within it, a
/// hot account costs no messages.
const REFUSING_MAX: Duration = Duration::from_millis(100);
/// Time until a home whose answer was not final is asked again.
const AGAIN: Duration = Duration::from_millis(40);
/// Time for which a node that is not the home, or does not grant, is not asked for the account.
const PASSED_TIME: Duration = Duration::from_millis(400);
/// Time after the last grant for which requests run without a home at the rate granted before. It
/// covers the silence of a dead home until a deputy grants.
const COAST_MAX: Duration = Duration::from_millis(800);
/// Part of the rate granted before at which requests run without a home.
const COAST_SHARE: f64 = 0.5;
/// Time after its last grant for which a node is asked before those ahead of it.
const STICKY_TIME: Duration = Duration::from_secs(5);
/// `Retry-After` while no home can be asked: a deputy is found by then.
const UNKNOWN_RETRY: Duration = Duration::from_millis(400);
/// Part of the expected demand that is asked for ahead; what is not used is lost to the account.
const SPARE_SHARE: f64 = 0.9;
/// Requests of one account that wait at a node.
const WAITING_MAX: usize = 256;
/// Time without a request after which an account's state is dropped.
const IDLE_MAX: Duration = Duration::from_secs(10);

/// Number of a waiting request, given by its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a holder knew of an account when it decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllotmentState {
    /// Requests that may still run.
    pub left: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Time since the last grant, `None` if there was none.
    pub granted_ago: Option<Duration>,
    /// Node that was asked last.
    pub home: Option<HostId>,
}

/// Refusal of a request, with what the decision was based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The answer.
    pub refusal: Refusal,
    /// What was known.
    pub state: AllotmentState,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may run.
    Run,
    /// It must not run.
    Refuse(Refused),
}

#[derive(Clone, Copy, Debug)]
struct Allotment {
    expires: MonoTime,
    tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    since: MonoTime,
}

#[derive(Clone, Debug, Default)]
struct Account {
    allotments: VecDeque<Allotment>,
    waiting: VecDeque<Waiting>,
    /// An ask is on its way.
    asking: bool,
    ask_after: MonoTime,
    refused_until: MonoTime,
    retry: Duration,
    refused_at: MonoTime,
    repeats: u32,
    passed: Vec<(HostId, MonoTime)>,
    hint: Option<(HostId, MonoTime)>,
    demand: Meter,
    granted: Meter,
    granted_at: Option<MonoTime>,
    granted_rate: f64,
    /// Requests run without a home; `None` while the home answers.
    coasted: Option<f64>,
    home: Option<HostId>,
    granter: Option<HostId>,
    used_at: MonoTime,
}

impl Account {
    fn state(&self, now: MonoTime) -> AllotmentState {
        AllotmentState {
            left: self.allotments.iter().map(|a| a.tokens).sum(),
            waiting: self.waiting.len() as u32,
            granted_ago: self.granted_at.map(|at| now.since(at)),
            home: self.home,
        }
    }

    fn refuse(&self, now: MonoTime, kind: ErrorKind, retry: Duration) -> Decision {
        Decision::Refuse(Refused {
            refusal: Refusal::with_retry_after(kind, retry),
            state: self.state(now),
        })
    }

    fn drop_lapsed(&mut self, now: MonoTime) {
        self.allotments.retain(|a| a.tokens > 0 && a.expires > now);
    }

    fn take(&mut self, now: MonoTime) -> bool {
        self.drop_lapsed(now);
        let Some(first) = self.allotments.front_mut() else {
            return self.coast(now);
        };
        first.tokens -= 1;
        true
    }

    /// Runs a request without a home, within the rate granted before the home fell silent.
    fn coast(&mut self, now: MonoTime) -> bool {
        let (Some(coasted), Some(at)) = (self.coasted, self.granted_at) else {
            return false;
        };
        let time = now.since(at).min(COAST_MAX).as_secs_f64();
        let may = coasted + 1.0 <= self.granted_rate * COAST_SHARE * time;
        if may {
            self.coasted = Some(coasted + 1.0);
        }
        // Past the time, what wasn't used is not made up for.
        may && now.since(at) <= COAST_MAX
    }

    /// Repeats the home's refusal; later requests are told to come later.
    fn repeat_refusal(&mut self, now: MonoTime, quota: Quota) -> Decision {
        self.repeats += 1;
        let each = f64::from(self.repeats) / quota.rate_per_s.max(0.001);
        let left = self.retry.saturating_sub(now.since(self.refused_at));
        let spread = Duration::from_secs_f64(each.min(2.0));
        self.refuse(now, ErrorKind::QuotaExceeded, left + spread)
    }

    /// Returns the node that granted last. It watches those ahead of it and names the home when one
    /// of them grants, so that all holders change over at once.
    fn granter(&self, now: MonoTime) -> Option<HostId> {
        let is_recent = self
            .granted_at
            .is_some_and(|at| now.since(at) < STICKY_TIME);
        self.granter.filter(|_| is_recent)
    }

    fn is_passed(&self, now: MonoTime, host: HostId) -> bool {
        self.passed
            .iter()
            .any(|(passed, until)| *passed == host && now < *until)
    }

    fn pass(&mut self, now: MonoTime, host: HostId) {
        self.passed
            .retain(|(other, until)| *other != host && now < *until);
        self.passed.push((host, now + PASSED_TIME));
    }
}

/// Allotments and waiting requests of a node.
#[derive(Clone, Debug, Default)]
pub(super) struct Holder {
    accounts: HashMap<AccountKey, Account>,
    /// Accounts with waiting requests.
    waiting: Vec<AccountKey>,
    mechanisms: Mechanisms,
}

/// Decisions on requests that waited.
pub(super) type Decided = Vec<(Ticket, Decision)>;

impl Holder {
    pub(super) fn new(mechanisms: Mechanisms) -> Self {
        Self {
            mechanisms,
            ..Self::default()
        }
    }

    /// Decides on a request, or makes it wait.
    pub(super) fn request(
        &mut self,
        now: MonoTime,
        key: AccountKey,
        quota: Quota,
        ticket: Ticket,
    ) -> Option<Decision> {
        let account = self.accounts.entry(key).or_default();
        account.used_at = now;
        account.demand.add(now, 1.0);
        if account.waiting.is_empty() {
            if account.take(now) {
                return Some(Decision::Run);
            }
            if now < account.refused_until {
                return Some(account.repeat_refusal(now, quota));
            }
            self.waiting.push(key);
        }
        if account.waiting.len() >= WAITING_MAX {
            return Some(account.refuse(now, ErrorKind::QuotaUnknown, UNKNOWN_RETRY));
        }
        account.waiting.push_back(Waiting { ticket, since: now });
        None
    }

    /// Returns `true` if requests wait.
    pub(super) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the accounts whose requests wait and that have not asked.
    pub(super) fn to_ask(&self, now: MonoTime) -> Vec<AccountKey> {
        let due = |key: &&AccountKey| {
            self.accounts
                .get(key)
                .is_some_and(|account| !account.asking && now >= account.ask_after)
        };
        self.waiting.iter().filter(due).copied().collect()
    }

    /// Returns the node to ask for an account. `is_silent` tells which did not answer lately.
    pub(super) fn choose(
        &self,
        now: MonoTime,
        key: AccountKey,
        order: &[HostId],
        is_silent: impl Fn(HostId) -> bool,
    ) -> Option<HostId> {
        let account = self.accounts.get(&key)?;
        if !self.mechanisms.deputies {
            return order.first().copied();
        }
        let can = |host: &HostId| !is_silent(*host) && !account.is_passed(now, *host);
        let hint = account.hint.filter(|(_, until)| now < *until);
        // A deputy that reached the home knows better than one lost message.
        let hint = hint.map(|(host, _)| host);
        let hint = hint.filter(|host| !account.is_passed(now, *host));
        hint.or_else(|| account.granter(now).filter(can))
            .or_else(|| order.iter().copied().find(can))
    }

    /// Returns the ask for an account's waiting requests.
    pub(super) fn ask(&mut self, now: MonoTime, key: AccountKey, home: HostId) -> Option<Ask> {
        let account = self.accounts.get_mut(&key)?;
        account.asking = true;
        account.home = Some(home);
        let rate = account.demand.per_second(now);
        let spare = rate * ALLOTMENT_LIFE.as_secs_f64() * SPARE_SHARE;
        Some(Ask {
            account: key,
            needed: account.waiting.len() as u32,
            spare: spare.round() as u32,
        })
    }

    /// Handles the home's answer to `ask`, which was sent at `sent_at`.
    pub(super) fn granted(
        &mut self,
        now: MonoTime,
        sent_at: MonoTime,
        from: HostId,
        ask: Ask,
        grant: Grant,
    ) -> Decided {
        let Some(account) = self.accounts.get_mut(&ask.account) else {
            return Vec::new();
        };
        account.asking = false;
        let mut out = Vec::new();
        let expires = match self.mechanisms.expiry {
            true => sent_at + ALLOTMENT_LIFE,
            false => now + Duration::from_secs(3_600),
        };
        let retry = Duration::from_millis(u64::from(grant.retry_ms));
        match grant.verdict {
            Verdict::Granted | Verdict::Exceeded | Verdict::Filling => {
                account.coasted = None;
                account.granted_at = Some(now);
                account.granter = Some(from);
                account.granted.add(now, f64::from(grant.tokens));
                account.granted_rate = account.granted.per_second(now);
                if grant.tokens > 0 {
                    account.allotments.push_back(Allotment {
                        expires,
                        tokens: grant.tokens,
                    });
                }
            }
            Verdict::NotHome => {
                account.pass(now, from);
                account.hint = grant.home.map(|home| (home, now + PASSED_TIME));
            }
            Verdict::Checking => account.ask_after = now + AGAIN,
        }
        Self::serve(now, account, &mut out);
        match grant.verdict {
            Verdict::Exceeded => {
                account.refused_at = now;
                account.retry = retry;
                account.refused_until = now + retry.min(REFUSING_MAX);
                account.repeats = 0;
                for _ in 0..ask.needed.saturating_sub(grant.tokens) {
                    let Some(waiting) = account.waiting.pop_front() else {
                        break;
                    };
                    let kind = ErrorKind::QuotaExceeded;
                    out.push((waiting.ticket, account.refuse(now, kind, retry)));
                }
            }
            Verdict::Filling => account.ask_after = now + retry.min(AGAIN),
            Verdict::Granted | Verdict::NotHome | Verdict::Checking => {}
        }
        self.forget_served();
        out
    }

    /// Handles an ask without an answer.
    pub(super) fn lost(&mut self, now: MonoTime, key: AccountKey) -> Decided {
        let mut out = Vec::new();
        if let Some(account) = self.accounts.get_mut(&key) {
            account.asking = false;
            account.coasted.get_or_insert(0.0);
            Self::serve(now, account, &mut out);
        }
        self.forget_served();
        out
    }

    /// Refuses requests that waited too long, and drops idle accounts.
    pub(super) fn expire(&mut self, now: MonoTime) -> Decided {
        let mut out = Vec::new();
        for key in &self.waiting {
            let Some(account) = self.accounts.get_mut(key) else {
                continue;
            };
            Self::serve(now, account, &mut out);
            while let Some(first) = account.waiting.front().copied() {
                if now.since(first.since) < WAIT_MAX {
                    break;
                }
                account.waiting.pop_front();
                let kind = ErrorKind::QuotaUnknown;
                out.push((first.ticket, account.refuse(now, kind, UNKNOWN_RETRY)));
            }
        }
        self.forget_served();
        self.accounts.retain(|_, account| {
            !account.waiting.is_empty() || account.asking || now.since(account.used_at) < IDLE_MAX
        });
        out
    }

    /// Returns the requests per second of each account at this node, the largest first.
    pub(super) fn busiest(&mut self, now: MonoTime, count: usize) -> Vec<(AccountKey, f64)> {
        let accounts = self.accounts.iter_mut();
        let mut rates: Vec<(AccountKey, f64)> = accounts
            .map(|(key, account)| (*key, account.demand.per_second(now)))
            .collect();
        rates.sort_by(|a, b| b.1.total_cmp(&a.1));
        rates.truncate(count);
        rates
    }

    fn serve(now: MonoTime, account: &mut Account, out: &mut Decided) {
        while !account.waiting.is_empty() && account.take(now) {
            if let Some(waiting) = account.waiting.pop_front() {
                out.push((waiting.ticket, Decision::Run));
            }
        }
    }

    fn forget_served(&mut self) {
        let accounts = &self.accounts;
        self.waiting.retain(|key| {
            accounts
                .get(key)
                .is_some_and(|account| !account.waiting.is_empty())
        });
    }
}
