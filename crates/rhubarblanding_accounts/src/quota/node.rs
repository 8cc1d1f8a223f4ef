//! One node's part in keeping quotas: holder for its own requests, home for some accounts.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::contacts::{Contacts, Outcome};
use super::holder::{Decided, Decision, Holder, Ticket};
use super::home::Homes;
use super::message::{Ask, AskMessage, Grant, NodeStatus, Reply, Verdict};
use super::order::candidates;
use super::{Mechanisms, Quota, QuotaBound};

/// Time after the start in which the node grants nothing: others learn of it and stop granting in
/// its place.
const OPENING_TIME: Duration = Duration::from_millis(1_500);
/// Time without any call after which the process counts as paused, and others as granting in its
/// place.
const PAUSE_MIN: Duration = Duration::from_millis(600);
/// Time after a grant for which the node makes sure that it is in touch.
const ACTIVE_TIME: Duration = Duration::from_secs(1);
/// Time between two samples of an active home while all messages are answered.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Samples without which a deputy doesn't grant: behind a cut the home looks dead as well.
const SAMPLES_MIN: usize = 4;
/// Time between two ticks while requests wait, or a message was lost: a cut is then seen by a dozen
/// samples in half a second.
const TICK_FAST: Duration = Duration::from_millis(50);
/// Time between two ticks otherwise.
const TICK: Duration = Duration::from_millis(200);
/// Time for which a former member is sampled. A cut is seen by the nodes behind it, though each holds
/// a part of them for dead.
const ROSTER_TIME: Duration = Duration::from_secs(60);
/// Part of the rate, times the share of nodes in reach, that a node grants which has been out of
/// touch for a whole window: most nodes may be gone for good.
const ISOLATED_SHARE: f64 = 0.6;

/// Number of a message on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskId(u64);

/// Reason for which an ask has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// The host refused the connection: no node runs there.
    Refused,
    /// No answer came in time.
    Silent,
}

/// Action for the owner of a [`QuotaNode`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send `msg` to `to`, and pass the answer or its absence to [`QuotaNode::answered`].
    Ask {
        /// Number of the message.
        id: AskId,
        /// Receiver.
        to: HostId,
        /// Message.
        msg: AskMessage,
    },
    /// A waiting request is decided.
    Decided(Ticket, Decision),
}

/// Use of an account at this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Account.
    pub account: AccountKey,
    /// Requests per second that entered here.
    pub per_second: f64,
}

#[derive(Clone, Debug)]
struct InFlight {
    to: HostId,
    sent_at: MonoTime,
    asks: Vec<Ask>,
    is_sample: bool,
}

/// State machine of one node, without I/O.
#[derive(Clone, Debug)]
pub struct QuotaNode {
    me: HostId,
    bound: QuotaBound,
    members: Vec<HostId>,
    /// Members and those of the last while, with the time at which each was last one.
    roster: Vec<(HostId, MonoTime)>,
    holder: Holder,
    homes: Homes,
    contacts: Contacts,
    in_flight: HashMap<AskId, InFlight>,
    next_id: u64,
    opens_at: MonoTime,
    called_at: MonoTime,
    out_of_touch_since: Option<MonoTime>,
    /// Time of the last ask for an account of which this node is a deputy.
    stood_in_at: Option<MonoTime>,
    next_sample: usize,
    sampled_at: MonoTime,
    mechanisms: Mechanisms,
}

impl QuotaNode {
    /// Creates the state of a node that has just started.
    pub fn new(now: MonoTime, me: HostId, bound: QuotaBound, mechanisms: Mechanisms) -> Self {
        let mut homes = Homes::default();
        homes.disturb(now);
        Self {
            me,
            bound,
            members: vec![me],
            roster: Vec::new(),
            holder: Holder::new(mechanisms),
            homes,
            contacts: Contacts::default(),
            in_flight: HashMap::default(),
            next_id: 0,
            opens_at: now + OPENING_TIME,
            called_at: now,
            out_of_touch_since: None,
            stood_in_at: None,
            next_sample: 0,
            sampled_at: now,
            mechanisms,
        }
    }

    /// Sets the bound of changed settings.
    pub fn set_bound(&mut self, bound: QuotaBound) {
        self.bound = bound;
    }

    /// Sets the nodes that can be homes; this node is one of them unless it is leaving.
    pub fn set_members(&mut self, now: MonoTime, mut members: Vec<HostId>) {
        members.sort_unstable();
        members.dedup();
        if members != self.members {
            self.homes.disturb(now);
            self.contacts.retain(&members);
            self.roster.retain(|(host, at)| {
                members.binary_search(host).is_err() && now.since(*at) < ROSTER_TIME
            });
            self.roster.extend(members.iter().map(|host| (*host, now)));
            self.roster.sort_unstable();
            self.members = members;
        }
    }

    /// Decides on a request of a client; `None` if it waits for an output.
    pub fn request(
        &mut self,
        now: MonoTime,
        account: AccountKey,
        quota: Quota,
        ticket: Ticket,
    ) -> Option<Decision> {
        self.check_pause(now);
        self.holder.request(now, account, quota, ticket)
    }

    /// Returns the time until [`Self::tick`] is due.
    pub fn tick_interval(&self) -> Duration {
        let now = self.called_at;
        let is_looking = self.is_sampling(now) && self.is_in_doubt(now);
        match is_looking || self.holder.is_waiting() {
            true => TICK_FAST,
            false => TICK,
        }
    }

    /// Asks for the requests that wait. Call it after [`Self::request`], once for several.
    pub fn flush(
        &mut self,
        now: MonoTime,
        quotas: &dyn Fn(AccountKey) -> Option<Quota>,
    ) -> Vec<Output> {
        self.check_pause(now);
        let mut out = Vec::new();
        self.send_asks(now, quotas, &mut out);
        out
    }

    /// Answers another node's ask.
    pub fn receive(
        &mut self,
        now: MonoTime,
        msg: &AskMessage,
        quotas: &dyn Fn(AccountKey) -> Option<Quota>,
    ) -> (Reply, Vec<Output>) {
        self.check_pause(now);
        let (status, scale) = self.status(now);
        let mut out = Vec::new();
        let grants = msg.asks.iter().map(|ask| {
            let quota = quotas(ask.account);
            self.grant(now, (status, scale), *ask, quota, &mut out)
        });
        let grants = grants.collect();
        (Reply { status, grants }, out)
    }

    /// Handles the answer to an ask, or its absence.
    pub fn answered(
        &mut self,
        now: MonoTime,
        id: AskId,
        reply: Result<Reply, Unanswered>,
        quotas: &dyn Fn(AccountKey) -> Option<Quota>,
    ) -> Vec<Output> {
        self.check_pause(now);
        let Some(sent) = self.in_flight.remove(&id) else {
            return Vec::new();
        };
        let outcome = match reply.as_ref().map(|reply| reply.status) {
            Ok(NodeStatus::Granting) => Outcome::Granting,
            Ok(_) => Outcome::Idle,
            Err(Unanswered::Refused) => Outcome::Gone,
            Err(Unanswered::Silent) => Outcome::Silent,
        };
        self.contacts.record(now, sent.to, outcome);
        if sent.is_sample {
            self.contacts.record_sample(now, outcome);
        }
        let mut out = Vec::new();
        for (i, ask) in sent.asks.iter().enumerate() {
            let grant = reply.as_ref().ok().and_then(|reply| reply.grants.get(i));
            let decided = match grant.filter(|grant| grant.account == ask.account) {
                Some(grant) => self
                    .holder
                    .granted(now, sent.sent_at, sent.to, *ask, *grant),
                None => self.holder.lost(now, ask.account),
            };
            report(decided, &mut out);
        }
        self.send_asks(now, quotas, &mut out);
        out
    }

    /// Handles the passing of time; call it several times a second, more often while requests wait.
    pub fn tick(
        &mut self,
        now: MonoTime,
        quotas: &dyn Fn(AccountKey) -> Option<Quota>,
    ) -> Vec<Output> {
        self.check_pause(now);
        let mut out = Vec::new();
        report(self.holder.expire(now), &mut out);
        self.homes.expire(now);
        self.send_asks(now, quotas, &mut out);
        if self.is_sampling(now) {
            self.sample(now, &mut out);
            self.status(now);
        }
        out
    }

    /// Lets time pass while no account is limited: nothing is sent.
    pub fn rest(&mut self, now: MonoTime) {
        self.check_pause(now);
    }

    /// Returns the accounts that send most through this node.
    pub fn busiest(&mut self, now: MonoTime, count: usize) -> Vec<Usage> {
        let busiest = self.holder.busiest(now, count).into_iter();
        busiest
            .map(|(account, per_second)| Usage {
                account,
                per_second,
            })
            .collect()
    }

    /// After a pause nothing known before holds: others have granted in this node's place.
    fn check_pause(&mut self, now: MonoTime) {
        if now.since(self.called_at) >= PAUSE_MIN {
            self.homes.stop_all(now);
            self.contacts.clear();
            self.opens_at = self.opens_at.max(now + OPENING_TIME);
        }
        self.called_at = self.called_at.max(now);
    }

    /// Returns whether this node grants, and the part of the rate that it may grant.
    fn status(&mut self, now: MonoTime) -> (NodeStatus, f64) {
        if self.members.binary_search(&self.me).is_err() {
            return (NodeStatus::Leaving, 0.0);
        }
        if now < self.opens_at {
            return (NodeStatus::Opening, 0.0);
        }
        if !self.mechanisms.touch || self.is_in_touch(now) {
            if self.out_of_touch_since.take().is_some() {
                self.homes.stop_all(now);
            }
            return (NodeStatus::Granting, 1.0);
        }
        let since = *self.out_of_touch_since.get_or_insert(now);
        if now.since(since) < self.bound.window {
            self.homes.stop_all(now);
            return (NodeStatus::OutOfTouch, 0.0);
        }
        let (answered, silent) = self.contacts.counts(now);
        let reach = (answered + 1) as f64 / (answered + silent + 1) as f64;
        (NodeStatus::Granting, reach * ISOLATED_SHARE)
    }

    /// A node that was out of touch needs an answer to be in touch again.
    fn is_in_touch(&self, now: MonoTime) -> bool {
        let was_out = self.out_of_touch_since.is_some();
        self.contacts.in_touch(now) && !(was_out && self.contacts.counts(now).0 == 0)
    }

    fn grant(
        &mut self,
        now: MonoTime,
        (status, scale): (NodeStatus, f64),
        ask: Ask,
        quota: Option<Quota>,
        out: &mut Vec<Output>,
    ) -> Grant {
        let account = ask.account;
        if status != NodeStatus::Granting {
            return Grant::elsewhere(account, Verdict::NotHome, None);
        }
        let Some(quota) = quota else {
            // By this node's version the account is not limited.
            let mut grant = Grant::elsewhere(account, Verdict::Granted, None);
            grant.tokens = ask.needed.saturating_add(ask.spare);
            return grant;
        };
        if let Some(elsewhere) = self.check_ahead(now, account, out) {
            self.homes.stop(now, account);
            return elsewhere;
        }
        self.homes.grant(now, scale, ask, quota, &self.bound)
    }

    /// Returns the answer if another node may be granting for the account.
    fn check_ahead(
        &mut self,
        now: MonoTime,
        account: AccountKey,
        out: &mut Vec<Output>,
    ) -> Option<Grant> {
        let order = candidates(account, &self.members);
        let elsewhere = |verdict, home| Some(Grant::elsewhere(account, verdict, home));
        let Some(position) = order.iter().position(|host| *host == self.me) else {
            return elsewhere(Verdict::NotHome, order.first().copied());
        };
        if !self.mechanisms.evidence {
            return None;
        }
        let mut checking = false;
        for host in &order[..position] {
            if self.contacts.is_due(now, *host) {
                self.send(now, *host, Vec::new(), out);
            }
            match self.contacts.evidence(now, *host) {
                Some(Outcome::Granting) => return elsewhere(Verdict::NotHome, Some(*host)),
                Some(Outcome::Idle | Outcome::Gone | Outcome::Silent) => {}
                None => checking = true,
            }
        }
        if position > 0 {
            self.stood_in_at = Some(now);
            let (answered, silent) = self.contacts.counts(now);
            checking |= self.mechanisms.touch && answered + silent < SAMPLES_MIN;
        }
        match checking {
            true => elsewhere(Verdict::Checking, None),
            false => None,
        }
    }

    /// Returns `true` if the node must know whether it is in touch.
    fn is_sampling(&self, now: MonoTime) -> bool {
        let is_opening = now < self.opens_at;
        let stands_in = self
            .stood_in_at
            .is_some_and(|at| now.since(at) <= ACTIVE_TIME);
        let is_active = stands_in || self.homes.is_active(now, ACTIVE_TIME);
        is_opening || is_active || self.out_of_touch_since.is_some()
    }

    fn is_in_doubt(&self, now: MonoTime) -> bool {
        let stands_in = self
            .stood_in_at
            .is_some_and(|at| now.since(at) <= ACTIVE_TIME);
        stands_in || self.out_of_touch_since.is_some() || self.contacts.is_doubtful(now)
    }

    /// Asks one node after the other whether it is in reach.
    fn sample(&mut self, now: MonoTime, out: &mut Vec<Output>) {
        let is_certain = !self.is_in_doubt(now);
        if is_certain && now.since(self.sampled_at) < SAMPLE_INTERVAL {
            return;
        }
        self.sampled_at = now;
        let len = self.roster.len();
        self.next_sample = (self.next_sample + stride(len)) % len.max(1);
        if let Some((host, _)) = self.roster.get(self.next_sample).copied() {
            self.dispatch(now, host, Vec::new(), true, out);
        }
    }

    fn send_asks(
        &mut self,
        now: MonoTime,
        quotas: &dyn Fn(AccountKey) -> Option<Quota>,
        out: &mut Vec<Output>,
    ) {
        let mut batches: Vec<(HostId, Vec<Ask>)> = Vec::new();
        for account in self.holder.to_ask(now) {
            let order = candidates(account, &self.members);
            let contacts = &self.contacts;
            let home = self
                .holder
                .choose(now, account, &order, |host| contacts.is_silent(now, host));
            let Some(home) = home else {
                continue;
            };
            if home == self.me {
                self.ask_self(now, account, quotas, out);
                continue;
            }
            if self.is_asking(home) {
                continue;
            }
            let Some(ask) = self.holder.ask(now, account, home) else {
                continue;
            };
            match batches.iter_mut().find(|(to, _)| *to == home) {
                Some((_, asks)) => asks.push(ask),
                None => batches.push((home, vec![ask])),
            }
        }
        for (to, asks) in batches {
            self.send(now, to, asks, out);
        }
    }

    fn ask_self(
        &mut self,
        now: MonoTime,
        account: AccountKey,
        quotas: &dyn Fn(AccountKey) -> Option<Quota>,
        out: &mut Vec<Output>,
    ) {
        let Some(ask) = self.holder.ask(now, account, self.me) else {
            return;
        };
        let status = self.status(now);
        let grant = self.grant(now, status, ask, quotas(account), out);
        report(self.holder.granted(now, now, self.me, ask, grant), out);
    }

    /// Returns `true` if needs are on their way to `home`; further ones follow together.
    fn is_asking(&self, home: HostId) -> bool {
        self.in_flight
            .values()
            .any(|sent| sent.to == home && !sent.asks.is_empty())
    }

    fn send(&mut self, now: MonoTime, to: HostId, asks: Vec<Ask>, out: &mut Vec<Output>) {
        let is_probe = asks.is_empty();
        let is_known = |sent: &InFlight| sent.to == to;
        if !is_probe || !self.in_flight.values().any(is_known) {
            self.dispatch(now, to, asks, false, out);
        }
    }

    fn dispatch(
        &mut self,
        now: MonoTime,
        to: HostId,
        asks: Vec<Ask>,
        is_sample: bool,
        out: &mut Vec<Output>,
    ) {
        if to == self.me {
            return;
        }
        let id = AskId(self.next_id);
        self.next_id += 1;
        let msg = AskMessage { asks: asks.clone() };
        let sent = InFlight {
            to,
            sent_at: now,
            asks,
            is_sample,
        };
        self.in_flight.insert(id, sent);
        out.push(Output::Ask { id, to, msg });
    }
}

fn report(decided: Decided, out: &mut Vec<Output>) {
    out.extend(
        decided
            .into_iter()
            .map(|(ticket, decision)| Output::Decided(ticket, decision)),
    );
}

/// Step that visits all of `len` members, neighbours in their order far apart: they often fail
/// together.
fn stride(len: usize) -> usize {
    let is_coprime = |step: &usize| {
        let (mut a, mut b) = (len, *step);
        while b > 0 {
            (a, b) = (b, a % b);
        }
        a == 1
    };
    let golden = (len as f64 * 0.618) as usize;
    (golden.max(1)..len).find(is_coprime).unwrap_or(1)
}
