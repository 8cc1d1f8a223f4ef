//! Planned stop of a process.

use std::sync::Arc;
use std::time::Duration;

use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::Input;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::local::LocalRequests;
use super::message;
use super::shared::Shared;
use crate::request::STOP_PATH;

/// Time after the stop signal in which the platform redirects this node's clients: two readiness
/// probes, a second apart, and requests in transit.
const REDIRECT_TIME: Duration = Duration::from_millis(2_600);
/// Time without a request after which clients are assumed to have been redirected. Those that keep
/// a connection to a stopping node use it several times a second.
const CLIENTS_IDLE: Duration = Duration::from_millis(700);
/// Time after the stop signal from which new requests of clients are refused, with a retry delay,
/// so that requests accepted before can finish.
const REFUSE_CLIENTS_AFTER: Duration = Duration::from_millis(2_900);
/// Time before the end from which requests of other nodes are refused, so that those accepted
/// before can finish. Until then they are accepted: a node sends them only if it has no other target
/// or the others are loaded.
const REFUSE_PEERS_BEFORE: Duration = Duration::from_millis(1_500);
/// Longest part of the grace period that is reserved for ending the process.
const RESERVE_MAX: Duration = Duration::from_millis(500);
/// The same as a share of the grace period, for short ones.
const RESERVE_DIVISOR: u32 = 12;
/// Longest time in which an answer that was made at the last moment reaches its client.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(300);
/// The same as a share of the grace period, for short ones.
const ANSWER_TIME_DIVISOR: u32 = 20;
/// Time between two checks of the open requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two messages to the nodes that hold requests of this one: one may be lost, and a
/// request may arrive after it.
const TELL_INTERVAL: Duration = Duration::from_millis(500);

/// Times of a planned stop, from the signal on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StopPlan {
    /// Requests of other nodes are refused from here on.
    refuse_peers: Duration,
    /// All requests that were read are answered by then: by their target, or with a refusal.
    answer_by: Duration,
    /// The process ends.
    end: Duration,
}

impl StopPlan {
    fn new(grace: Duration) -> Self {
        let end = grace.saturating_sub(RESERVE_MAX.min(grace / RESERVE_DIVISOR));
        let answer_time = ANSWER_TIME_MAX.min(grace / ANSWER_TIME_DIVISOR);
        Self {
            refuse_peers: end.saturating_sub(REFUSE_PEERS_BEFORE),
            answer_by: end.saturating_sub(answer_time),
            end,
        }
    }
}

/// Message of a stopping node to one that holds requests of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StopMessage {
    /// Time in which their answers are of use, in milliseconds.
    left_ms: u64,
    /// Identifiers that clients gave them.
    requests: Vec<String>,
}

impl StopMessage {
    /// Lowers the deadlines of the requests that wait here.
    pub fn apply(&self, node: &Shared) {
        let now = node.clock.now();
        let deadline = now + Duration::from_millis(self.left_ms);
        let ids = self.requests.iter().map(String::as_bytes).collect();
        node.local.limit_requests(now, deadline, &ids);
    }
}

/// Finishes the open requests; new ones are accepted until the clients have been redirected.
///
/// From the signal on, no request has a deadline beyond the process: what cannot run in time is
/// refused while the client can still go elsewhere, and targets stop work that cannot be answered.
pub(super) async fn drain(node: &Arc<Shared>, stop: &watch::Sender<bool>) {
    let began = tokio::time::Instant::now();
    let plan = StopPlan::new(node.settings().grace_period);
    let answer_by = node.clock.now() + plan.answer_by;
    node.set_stopping(answer_by);
    node.announce();
    log_open(node, "stopping");
    let telling = tokio::spawn(tell_holders(Arc::clone(node), answer_by));
    loop {
        let elapsed = began.elapsed();
        if elapsed >= REFUSE_CLIENTS_AFTER {
            node.refuse_clients();
        }
        if elapsed >= plan.refuse_peers {
            node.refuse_peers();
        }
        let has_answered = node.open_requests() == 0;
        let clients_redirected = elapsed >= REDIRECT_TIME && node.idle_time() >= CLIENTS_IDLE;
        if has_answered && (clients_redirected || elapsed >= plan.answer_by) {
            break;
        }
        if elapsed >= plan.end {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    node.refuse_clients();
    node.refuse_peers();
    stop.send_replace(true);
    loop {
        // Requests that arrived at the last moment must be read before they are counted, and an
        // answer that was made may not be written yet.
        tokio::time::sleep(POLL_INTERVAL).await;
        let is_idle = node.open_requests() == 0 && node.connections.is_empty();
        let is_idle = is_idle && !node.has_pending_records();
        if is_idle || began.elapsed() >= plan.end {
            break;
        }
    }
    telling.abort();
    log_open(node, "drained");
    node.member_input(Input::Announce {
        state: TargetState::Stopped,
        slots: 0,
    });
    // Leaves time to send the last message.
    tokio::time::sleep(POLL_INTERVAL).await;
}

/// Tells the nodes that hold requests of this one until when it can answer them.
async fn tell_holders(node: Arc<Shared>, answer_by: MonoTime) {
    loop {
        let left = node.clock.now().until(answer_by);
        for (host, requests) in node.hops.by_host() {
            let msg = StopMessage {
                left_ms: left.as_millis() as u64,
                requests,
            };
            message::send(&node, host, STOP_PATH, &msg);
        }
        tokio::time::sleep(TELL_INTERVAL).await;
    }
}

/// Logs the requests that the process has read and not answered.
fn log_open(node: &Shared, event: &str) {
    let LocalRequests { waiting, running } = node.local.requests();
    log::info!(
        open_requests = node.open_requests(), waiting = waiting, running = running,
        at_other_nodes = node.hops.len(), connections = node.connections.len();
        "{event}"
    );
}
