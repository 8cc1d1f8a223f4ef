//! Planned stop of a process.

use std::sync::Arc;
use std::time::Duration;

use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::Input;
use tokio::sync::watch;

use super::local::LocalRequests;
use super::shared::Shared;

/// Time after the stop signal in which the platform redirects this node's clients: two readiness
/// probes, a second apart, and requests in transit.
const STOP_REDIRECT_TIME: Duration = Duration::from_millis(2_600);
/// Time without a request after which clients are assumed to have been redirected. Those that keep
/// a connection to a stopping node use it several times a second.
const STOP_CLIENTS_IDLE: Duration = Duration::from_millis(700);
/// Time after the stop signal from which new requests of clients are refused, with a retry delay,
/// so that requests accepted before can finish.
const STOP_REFUSE_CLIENTS_AFTER: Duration = Duration::from_millis(2_900);
/// Time before the end from which requests of other nodes are refused, so that those accepted
/// before can finish. Until then they are accepted: a node sends them only if it has no other target
/// or the others are loaded.
const STOP_REFUSE_PEERS_BEFORE: Duration = Duration::from_millis(1_500);
/// Part of the grace period that is reserved for ending the process.
const STOP_RESERVE: Duration = Duration::from_millis(500);
/// Time between two checks of the open requests while stopping.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Finishes the open requests; new ones are accepted until the clients have been redirected.
pub(super) async fn drain(node: &Arc<Shared>, stop: &watch::Sender<bool>) {
    let began = tokio::time::Instant::now();
    node.set_stopping();
    node.announce();
    log_open(node, "stopping");
    let end = node.settings().grace_period.saturating_sub(STOP_RESERVE);
    loop {
        let elapsed = began.elapsed();
        if elapsed >= STOP_REFUSE_CLIENTS_AFTER {
            node.refuse_clients();
        }
        if elapsed >= end.saturating_sub(STOP_REFUSE_PEERS_BEFORE) {
            node.refuse_peers();
        }
        let clients_redirected = node.open_requests() == 0 && node.idle_time() >= STOP_CLIENTS_IDLE;
        if elapsed >= end || (clients_redirected && elapsed >= STOP_REDIRECT_TIME) {
            break;
        }
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    node.refuse_clients();
    node.refuse_peers();
    stop.send_replace(true);
    loop {
        // Requests that arrived at the last moment must be read before they are counted.
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
        let is_idle = node.open_requests() == 0 && !node.has_pending_records();
        if is_idle || began.elapsed() >= end {
            break;
        }
    }
    log_open(node, "drained");
    node.member_input(Input::Announce {
        state: TargetState::Stopped,
        slots: 0,
    });
    // Leaves time to send the last message.
    tokio::time::sleep(STOP_POLL_INTERVAL).await;
}

/// Logs the requests that the process has read and not answered.
fn log_open(node: &Shared, event: &str) {
    let LocalRequests { waiting, running } = node.local.requests();
    log::info!(
        open_requests = node.open_requests(), waiting = waiting, running = running;
        "{event}"
    );
}
