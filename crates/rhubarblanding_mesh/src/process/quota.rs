//! Quotas of client accounts: tasks and messages around [`QuotaNode`].

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use rhubarblanding_accounts::quota::{
    AskId, AskMessage, Decision, Mechanisms, Output, Quota, QuotaNode, Refused, Reply, Ticket,
    Unanswered,
};
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::process::parking::{Mutex, lock};
use tokio::sync::{Notify, mpsc, oneshot};

use super::message;
use super::shared::Shared;
use crate::connection::PeerError;
use crate::request::QUOTA_PATH;

/// Time limit of an ask: several times the usual round trip at a loaded node, and short enough for
/// a request to be granted by a deputy.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of the answer to an ask, in bytes.
const REPLY_MAX_BYTES: usize = 1 << 20;
/// Time between two checks whether quotas apply. It is shorter than a pause of the process, which
/// would be taken for one.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which requests that come together are asked for in one message.
const COLLECT_TIME: Duration = Duration::from_millis(1);
/// Accounts whose use is shown.
const SHOWN_MAX: usize = 10;
/// Time between two updates of the shown use.
const SHOW_INTERVAL: Duration = Duration::from_secs(1);

/// Ask to be sent to another node.
pub struct QuotaAsk {
    id: AskId,
    to: HostId,
    msg: AskMessage,
}

struct State {
    machine: Option<QuotaNode>,
    members: HashSet<HostId>,
    waiting: HashMap<Ticket, oneshot::Sender<Decision>>,
    next_ticket: u64,
    shown_at: MonoTime,
}

/// Quotas of client accounts.
pub struct Quotas {
    me: HostId,
    state: Mutex<State>,
    asks: mpsc::UnboundedSender<QuotaAsk>,
    /// A request waits.
    waits: Notify,
}

impl Quotas {
    /// Creates the state of a node. The receiver yields the asks to send.
    pub fn new(me: HostId) -> (Self, mpsc::UnboundedReceiver<QuotaAsk>) {
        let (asks, rx) = mpsc::unbounded_channel();
        let state = State {
            machine: None,
            members: HashSet::default(),
            waiting: HashMap::default(),
            next_ticket: 0,
            shown_at: MonoTime::ZERO,
        };
        let quotas = Self {
            me,
            state: Mutex::new(state),
            asks,
            waits: Notify::new(),
        };
        (quotas, rx)
    }

    /// Learns the state of a node.
    pub fn see(&self, now: MonoTime, info: &TargetInfo) {
        let state = &mut *lock(&self.state);
        let is_staying = matches!(info.state, TargetState::Starting | TargetState::Serving);
        let is_changed = match is_staying {
            true => state.members.insert(info.host),
            false => state.members.remove(&info.host),
        };
        if is_changed {
            state.set_members(now);
        }
    }

    /// Learns that a node is gone.
    pub fn lose(&self, now: MonoTime, host: HostId) {
        let state = &mut *lock(&self.state);
        if state.members.remove(&host) {
            state.set_members(now);
        }
    }

    /// Charges a request to its account's quota over all nodes; waits for an allotment if there is
    /// none here.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::QuotaExceeded`] beyond the quota, [`ErrorKind::QuotaUnknown`] if no node could
    /// be asked. The request has not run.
    pub async fn admit(
        &self,
        node: &Shared,
        id: &HeaderValue,
        account: AccountKey,
        quota: Quota,
    ) -> Result<(), Refusal> {
        let Some(decided) = self.request(node, account, quota) else {
            return Ok(());
        };
        let decision = match decided {
            Ok(decision) => decision,
            Err(waiting) => {
                self.waits.notify_one();
                // The sender is dropped if quotas are not kept any more.
                waiting.await.unwrap_or(Decision::Run)
            }
        };
        match decision {
            Decision::Run => Ok(()),
            Decision::Refuse(refused) => {
                self.log_refusal(node, id, account, quota, refused);
                Err(refused.refusal)
            }
        }
    }

    /// Decides at once or returns where the decision will arrive; `None` if quotas are not kept.
    fn request(
        &self,
        node: &Shared,
        account: AccountKey,
        quota: Quota,
    ) -> Option<Result<Decision, oneshot::Receiver<Decision>>> {
        let now = node.clock.now();
        let state = &mut *lock(&self.state);
        // A node that has just started keeps quotas from its first request on.
        let ticket = Ticket(state.next_ticket);
        state.next_ticket += 1;
        let machine = state.prepare(now, node, self.me)?;
        if let Some(decision) = machine.request(now, account, quota, ticket) {
            return Some(Ok(decision));
        }
        let (tx, rx) = oneshot::channel();
        state.waiting.insert(ticket, tx);
        Some(Err(rx))
    }

    /// Answers another node's ask; `None` if quotas are not kept here.
    pub fn receive(&self, node: &Shared, msg: &AskMessage) -> Option<Reply> {
        let mut reply = None;
        self.with(node, |machine, now, quotas| {
            let (answer, outputs) = machine.receive(now, msg, quotas);
            reply = Some(answer);
            outputs
        });
        reply
    }

    /// Calls the state machine and executes its outputs.
    fn with(
        &self,
        node: &Shared,
        call: impl FnOnce(&mut QuotaNode, MonoTime, &dyn Fn(AccountKey) -> Option<Quota>) -> Vec<Output>,
    ) {
        let version = node.version();
        let quotas = |key| {
            let version = version.as_ref()?;
            version.configuration().accounts.get(key)?.quota
        };
        let now = node.clock.now();
        let state = &mut *lock(&self.state);
        let Some(machine) = state.machine.as_mut() else {
            return;
        };
        for output in call(machine, now, &quotas) {
            match output {
                Output::Ask { id, to, msg } => {
                    // The receiver exists until the process ends.
                    let _ = self.asks.send(QuotaAsk { id, to, msg });
                }
                Output::Decided(ticket, decision) => {
                    if let Some(waiting) = state.waiting.remove(&ticket) {
                        // A client that left takes its allotment along.
                        let _ = waiting.send(decision);
                    }
                }
            }
        }
    }

    /// Lets time pass; returns the time until the next call.
    fn tick(&self, node: &Shared) -> Duration {
        let is_limited = node.version().is_some_and(|version| {
            let accounts = version.configuration().accounts.accounts();
            accounts.iter().any(|account| account.quota.is_some())
        });
        let now = node.clock.now();
        {
            let state = &mut *lock(&self.state);
            let Some(machine) = state.prepare(now, node, self.me) else {
                return IDLE_INTERVAL;
            };
            if !is_limited {
                machine.rest(now);
                return IDLE_INTERVAL;
            }
        }
        self.with(node, QuotaNode::tick);
        self.show(node, now);
        let state = lock(&self.state);
        state
            .machine
            .as_ref()
            .map_or(IDLE_INTERVAL, QuotaNode::tick_interval)
    }

    /// Updates the metrics of the busiest accounts.
    fn show(&self, node: &Shared, now: MonoTime) {
        let state = &mut *lock(&self.state);
        if now.since(state.shown_at) < SHOW_INTERVAL {
            return;
        }
        state.shown_at = now;
        let busiest = state.machine.as_mut();
        let busiest = busiest.map_or_else(Vec::new, |machine| machine.busiest(now, SHOWN_MAX));
        let Some(version) = node.version() else {
            return;
        };
        let accounts = &version.configuration().accounts;
        let named = busiest.iter().filter_map(|usage| {
            Some((accounts.get(usage.account)?.name.clone(), usage.per_second))
        });
        node.metrics.set_account_rates(named);
    }

    fn log_refusal(
        &self,
        node: &Shared,
        id: &HeaderValue,
        account: AccountKey,
        quota: Quota,
        refused: Refused,
    ) {
        let version = node.version();
        let name = version.as_ref().and_then(|version| {
            let account = version.configuration().accounts.get(account)?;
            Some(account.name.to_string())
        });
        node.log_quota_refusal(id, name.as_deref(), quota, refused);
    }
}

impl State {
    /// Returns the state machine with the bound of the settings; `None` if quotas are not kept.
    fn prepare(&mut self, now: MonoTime, node: &Shared, me: HostId) -> Option<&mut QuotaNode> {
        let bound = node.settings().accounts.quota;
        // Without a configuration the node doesn't know the limits that it would grant by.
        let Some(bound) = bound.filter(|_| node.version().is_some()) else {
            self.machine = None;
            // Requests that wait are no longer limited.
            self.waiting.clear();
            return None;
        };
        if self.machine.is_none() {
            let machine = QuotaNode::new(now, me, bound, Mechanisms::default());
            self.machine = Some(machine);
            self.set_members(now);
        }
        let machine = self.machine.as_mut()?;
        machine.set_bound(bound);
        Some(machine)
    }

    fn set_members(&mut self, now: MonoTime) {
        let members = self.members.iter().copied().collect();
        if let Some(machine) = self.machine.as_mut() {
            machine.set_members(now, members);
        }
    }
}

/// Sends the asks and lets time pass; runs until the process ends.
pub async fn maintain(node: Arc<Shared>, mut asks: mpsc::UnboundedReceiver<QuotaAsk>) {
    let mut due = tokio::time::Instant::now();
    loop {
        tokio::select! {
            ask = asks.recv() => {
                let Some(ask) = ask else {
                    return;
                };
                tokio::spawn(deliver(Arc::clone(&node), ask));
            }
            () = node.quotas.waits.notified() => {
                tokio::time::sleep(COLLECT_TIME).await;
                node.quotas.with(&node, QuotaNode::flush);
                let soon = tokio::time::Instant::now() + COLLECT_TIME * 20;
                due = due.min(soon);
            }
            () = tokio::time::sleep_until(due) => {
                due = tokio::time::Instant::now() + node.quotas.tick(&node);
            }
        }
    }
}

async fn deliver(node: Arc<Shared>, ask: QuotaAsk) {
    let sending = tokio::time::timeout(ASK_TIMEOUT, post(&node, &ask));
    let reply = sending.await.unwrap_or(Err(Unanswered::Silent));
    node.quotas.with(&node, |machine, now, quotas| {
        machine.answered(now, ask.id, reply, quotas)
    });
}

async fn post(node: &Shared, ask: &QuotaAsk) -> Result<Reply, Unanswered> {
    let asked = message::ask(&node.peers, ask.to, QUOTA_PATH, &ask.msg, REPLY_MAX_BYTES).await;
    let resp = asked.map_err(|e| match e {
        PeerError::Refused => Unanswered::Refused,
        PeerError::NotSent | PeerError::Lost => Unanswered::Silent,
    })?;
    serde_json::from_slice(resp.body()).map_err(|e| {
        log::warn!(host:% = ask.to, reason:% = e; "quota_answer_invalid");
        Unanswered::Silent
    })
}
