//! Tells the processes on other hosts of the departures that this node holds for them.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_node::process::parking::lock;
use rhubarblanding_store::backoff::Backoff;

use super::answers::{HolderAnswer, ask};
use super::{ASK_TIMEOUT, DepartureMessage, HAND_OVER_BACKOFF};
use crate::process::Shared;

/// Attempts to tell one process. The next change of its announced state begins further ones.
const ATTEMPTS_MAX: u32 = 6;

/// Tells the process that `info` announces of departures from its host, unless it was told before or
/// handed them over itself. It may have started when it could not know whom to ask.
pub(in crate::process) fn tell_host(node: &Arc<Shared>, info: &TargetInfo) {
    let (host, incarnation) = (info.host, info.incarnation);
    let now = node.clock.now();
    let Some(departed) = lock(&node.departures.held).begin_telling(now, host, incarnation) else {
        return;
    };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let mut rng = SmallRng::from_os_rng();
        let mut backoff = Backoff::new(HAND_OVER_BACKOFF);
        let count = departed.len();
        let msg = DepartureMessage::Departed { departed };
        for _ in 0..ATTEMPTS_MAX {
            let answer = ask(&node.peers, host, &msg, ASK_TIMEOUT).await;
            if matches!(answer, HolderAnswer::Records(..)) {
                log::info!(host:% = host, departed = count; "departures_told");
                return;
            }
            tokio::time::sleep(backoff.next_delay(&mut rng)).await;
        }
        lock(&node.departures.held).set_told(host, None);
    });
}
