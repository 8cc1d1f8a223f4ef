//! Renewal of the knowledge that the active configuration is the newest: from the key-value service,
//! from answers of other nodes to forwarded requests, and by questions to other nodes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, Request, Uri};
use http_body_util::Full;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rhubarblanding_accounts::freshness::{Freshness, READERS, Renewal, Word};
use rhubarblanding_core::collections::stable_hash;
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::Input;
use rhubarblanding_node::process::parking::{Mutex, lock};
use rhubarblanding_store::client::StoreResult;
use rhubarblanding_store::{Revision, StoreError, WatchOutcome};
use tokio::sync::{Notify, watch};

use super::configuration;
use super::events::age_ms;
use super::member::other_nodes;
use super::shared::Shared;
use crate::request::FRESHNESS_PATH;

/// Header of a request between nodes that asks for the word of its receiver, and of the answer, whose
/// value is a [`Word`].
pub(crate) const FRESHNESS_HEADER: HeaderName = HeaderName::from_static("rb-freshness");
/// Value with which a request asks; always the same, so that header compression reduces it to a byte.
const ASK: HeaderValue = HeaderValue::from_static("1");

/// Interval at which a node checks whether its knowledge is to be renewed. It is added to the age.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a question counts as lost.
const ASK_TIMEOUT: Duration = Duration::from_millis(700);
/// Time between two determinations of the nodes that read the key-value service.
const RANK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of nodes that ask one other: questions pass on news in few steps, at a bounded load.
const ASK_FANIN: usize = 8;

/// What this node knows of the freshness of its configuration.
#[derive(Debug, Default)]
pub struct FreshnessState {
    knowledge: Mutex<Freshness>,
    /// Position of the configuration's value in the key-value service at the last read, and the
    /// version that it holds.
    position: Mutex<Option<(Revision, DocVersion)>>,
    is_reading: AtomicBool,
    /// Whether the watch of the configuration is answered, once there is one. While it is not, it
    /// reads the key again and again.
    watch_reachable: Mutex<Option<watch::Receiver<bool>>>,
    /// Number of answers to questions and reads.
    answers: watch::Sender<u64>,
    /// Wakes the task that renews the knowledge.
    hastened: Notify,
}

impl FreshnessState {
    /// Returns the time before which no version newer than the active one was in force.
    pub fn known_at(&self) -> Option<MonoTime> {
        lock(&self.knowledge).known_at()
    }

    /// Returns the time of another node's latest answer.
    pub(super) fn heard_at(&self) -> Option<MonoTime> {
        lock(&self.knowledge).heard_at()
    }

    /// Returns a receiver that is notified of each answer that may renew the knowledge.
    pub(super) fn watch_renewals(&self) -> watch::Receiver<u64> {
        self.answers.subscribe()
    }

    /// Renews the knowledge soon if it is due.
    pub(super) fn hasten(&self) {
        self.hastened.notify_one();
    }

    /// Applies an answer to the knowledge.
    fn learn(&self, apply: impl FnOnce(&mut Freshness)) {
        apply(&mut lock(&self.knowledge));
        self.answers.send_modify(|count| *count += 1);
    }

    /// Sets the watch of the configuration, by whether its last call was answered.
    pub(super) fn follow_watch(&self, reachable: watch::Receiver<bool>) {
        *lock(&self.watch_reachable) = Some(reachable);
    }

    /// Returns `true` if reads are of use: while the watch fails, its own attempts are enough.
    fn can_read(&self) -> bool {
        let reachable = lock(&self.watch_reachable);
        reachable
            .as_ref()
            .is_none_or(|reachable| *reachable.borrow())
    }

    /// Records that some read by this process returned `version`. It was sent after the process
    /// started, which suffices for a node that has just started.
    pub(super) fn learn_since_start(&self, node: &Shared, version: DocVersion) {
        let active = active(node);
        self.learn(|known| known.learn_read(active, MonoTime::ZERO, version));
    }
}

fn active(node: &Shared) -> DocVersion {
    node.version()
        .map_or(DocVersion::default(), |version| version.number())
}

/// Returns `true` if keys may only be admitted on fresh knowledge.
fn limits_keys(node: &Shared) -> bool {
    let has_bound = node.settings().accounts.withdrawal.is_some();
    has_bound
        && node
            .version()
            .is_some_and(|version| !version.configuration().accounts.is_empty())
}

/// Asks the receiver of a request between nodes for its word if this node's knowledge grows old;
/// returns the time from which its answer counts.
pub(crate) fn ask_along(node: &Shared, headers: &mut HeaderMap) -> Option<MonoTime> {
    let now = node.clock.now();
    if !lock(&node.freshness.knowledge).asks_along(now) {
        return None;
    }
    headers.insert(FRESHNESS_HEADER, ASK);
    Some(now)
}

/// Removes the word of the node on `from` from its answer, and applies it if it was asked for at
/// `asked_at`.
pub(crate) fn learn(
    node: &Shared,
    from: HostId,
    headers: &mut HeaderMap,
    asked_at: Option<MonoTime>,
) {
    let word = headers.remove(FRESHNESS_HEADER);
    let Some(asked_at) = asked_at else {
        return;
    };
    let word = word.and_then(|value| Word::try_from(value.to_str().ok()?).ok());
    let (now, active) = (node.clock.now(), active(node));
    let times = (asked_at, now);
    node.freshness
        .learn(|known| known.learn_word(active, times, word));
    if let Some(Word { version, .. }) = word.filter(|word| word.version > active) {
        node.member_input(Input::PeerDocument { from, version });
    }
}

/// Returns the answer to another node's question, if there is one.
pub(crate) fn word(node: &Shared) -> Option<HeaderValue> {
    let word = lock(&node.freshness.knowledge).word(active(node), node.clock.now())?;
    HeaderValue::try_from(word.to_string()).ok()
}

/// Renews the knowledge whenever it is due; runs until the process ends.
pub async fn renew(node: Arc<Shared>) {
    let mut rng = SmallRng::from_os_rng();
    let mut order = Order::default();
    let mut reported = Reported::default();
    let mut versions = node.watch_version();
    // The sender exists as long as this node.
    let _ = versions
        .wait_for(|version| *version != DocVersion::default())
        .await;
    loop {
        let now = node.clock.now();
        order.update(&node, now);
        let rank = node.freshness.can_read().then_some(order.rank);
        let renewal = lock(&node.freshness.knowledge).renewal(now, rank);
        match renewal {
            Renewal::None => {}
            Renewal::Read => spawn_read(&node),
            Renewal::Ask => {
                if let Some(to) = order.choose(&mut rng) {
                    tokio::spawn(ask(Arc::clone(&node), to));
                }
            }
        }
        reported.update(&node);
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = node.freshness.hastened.notified() => {}
        }
    }
}

/// What was last logged of the age of the knowledge.
#[derive(Debug, Default)]
struct Reported {
    is_outdated: bool,
    are_accounts_outdated: bool,
}

impl Reported {
    /// Shows the age of the knowledge; logs when it becomes too old, and when it is renewed.
    fn update(&mut self, node: &Shared) {
        let age = node.configuration_age();
        let bounds = node.settings().accounts;
        let version = active(node).0;
        node.metrics.set_configuration_age(age);
        let is_old = |limit| age.is_none_or(|age| age >= limit);
        let is_outdated = is_old(bounds.adoption);
        if std::mem::replace(&mut self.is_outdated, is_outdated) != is_outdated {
            match is_outdated {
                true => {
                    log::warn!(version = version, age_ms = age_ms(age); "configuration_outdated")
                }
                false => {
                    log::info!(version = version, age_ms = age_ms(age); "configuration_current")
                }
            }
        }
        let limit = bounds.withdrawal.filter(|_| limits_keys(node));
        node.metrics
            .set_accounts_age(age.filter(|_| limit.is_some()));
        let is_outdated = limit.is_some_and(is_old);
        if std::mem::replace(&mut self.are_accounts_outdated, is_outdated) != is_outdated {
            match is_outdated {
                true => log::warn!(version = version, age_ms = age_ms(age); "accounts_outdated"),
                false => log::info!(version = version, age_ms = age_ms(age); "accounts_current"),
            }
        }
    }
}

/// Order of all nodes on which they agree as far as they know the same members.
#[derive(Debug, Default)]
struct Order {
    updated_at: Option<MonoTime>,
    /// Other nodes, in their order.
    others: Vec<HostId>,
    /// Position of this node.
    rank: usize,
    questions: usize,
}

impl Order {
    fn update(&mut self, node: &Shared, now: MonoTime) {
        let is_recent = |at: MonoTime| now.since(at) < RANK_INTERVAL;
        if self.updated_at.is_some_and(is_recent) {
            return;
        }
        self.updated_at = Some(now);
        let score = |host: &HostId| stable_hash(0, host.to_string().as_bytes());
        self.others = other_nodes(node);
        self.others.sort_by_cached_key(score);
        let own = score(&node.host_id());
        self.rank = self.others.partition_point(|host| score(host) < own);
    }

    /// Chooses the node to ask: in turn those that are nearer to the readers, and each fourth time any one, as
    /// the former may not be reachable.
    fn choose(&mut self, rng: &mut SmallRng) -> Option<HostId> {
        self.questions += 1;
        let near = (self.rank / ASK_FANIN).max(READERS);
        if self.others.is_empty() {
            return None;
        }
        let chosen = match self.questions.is_multiple_of(4) {
            true => rng.random_range(0..self.others.len()),
            false => (self.rank + self.questions) % near.min(self.others.len()),
        };
        Some(self.others[chosen])
    }
}

async fn ask(node: Arc<Shared>, to: HostId) {
    let uri = Uri::builder()
        .scheme("http")
        .authority(to.to_string())
        .path_and_query(FRESHNESS_PATH);
    let Ok(uri) = uri.build() else {
        return;
    };
    let mut req = Request::new(Full::default());
    *req.method_mut() = Method::POST;
    *req.uri_mut() = uri;
    let asked_at = node.clock.now();
    let answer = tokio::time::timeout(ASK_TIMEOUT, node.peers.send(to.0, req));
    if let Ok(Ok(mut resp)) = answer.await {
        learn(&node, to, resp.headers_mut(), Some(asked_at));
    }
}

/// Reads the configuration's state from the key-value service, unless a read is under way.
fn spawn_read(node: &Arc<Shared>) {
    if node.freshness.is_reading.swap(true, Ordering::Relaxed) {
        return;
    }
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let sent_at = node.clock.now();
        match read(&node).await {
            Ok(Some(version)) => {
                let active = active(&node);
                let learn = |known: &mut Freshness| known.learn_read(active, sent_at, version);
                node.freshness.learn(learn);
            }
            Ok(None) => {}
            Err(report) => {
                log::info!(reason:% = report.current_context(); "configuration_not_read");
            }
        }
        node.freshness.is_reading.store(false, Ordering::Relaxed);
    });
}

/// Returns the newest version in the key-value service. The value itself is read only if it may have
/// changed since the last read.
async fn read(node: &Shared) -> StoreResult<Option<DocVersion>> {
    let key = node.protocol.configuration_key();
    let known = lock(&node.freshness.position).take();
    let value = match known {
        Some((position, version)) => {
            match node.store.watch(&key, position, Duration::ZERO).await {
                // A service that is behind the position was restored from an older copy.
                Ok(WatchOutcome::Unchanged(at)) if at == Revision::ABSENT || at >= position => {
                    *lock(&node.freshness.position) = Some((at.max(position), version));
                    return Ok(Some(version));
                }
                Ok(WatchOutcome::Changed(value)) => Some(value),
                Ok(WatchOutcome::Removed(_)) => None,
                Err(report) if *report.current_context() == StoreError::Unavailable => {
                    return Err(report);
                }
                // Its history is gone.
                Ok(WatchOutcome::Unchanged(_)) | Err(_) => node.store.get(&key).await?,
            }
        }
        None => node.store.get(&key).await?,
    };
    let Some(value) = value else {
        return Ok(None);
    };
    let version = configuration::adopt_from_store(node, &value.value);
    *lock(&node.freshness.position) = version.map(|version| (value.revision, version));
    Ok(version)
}
