//! Crashes of the local target, told apart from lost connections and planned stops.

use rhubarblanding_core::prelude::*;
use rhubarblanding_request::suspect::CrashId;
use tokio::sync::Mutex;

use super::notice::InstanceKey;
use super::shared::Shared;
use crate::protocol::Instance;

/// Result of the latest connection that was opened to find out whether the target runs.
#[derive(Clone, Copy, Debug)]
struct Check {
    ended_at: MonoTime,
    is_down: bool,
}

/// Finds out whether a lost answer is due to a crash of the target.
#[derive(Debug, Default)]
pub struct CrashWatch {
    /// Held while a connection is opened, so that the many requests that a crash ends share one.
    latest: Mutex<Option<Check>>,
}

impl CrashWatch {
    /// Returns the crash that ended a request at `instance`, whose connection was just lost.
    ///
    /// A target that runs accepts connections again at once, and one that stops as planned has
    /// announced it. A kill from outside cannot be told from a crash by one event.
    pub async fn crash_of(&self, node: &Shared, instance: &Instance) -> Option<CrashId> {
        let lost_at = node.clock.now();
        if node.local.serving().as_ref() != Some(instance) {
            return None;
        }
        let mut latest = self.latest.lock().await;
        let known = latest.filter(|check| check.ended_at >= lost_at);
        let check = match known {
            Some(check) => check,
            None => Check {
                is_down: node.backend.is_refused(node.settings().target_addr).await,
                ended_at: node.clock.now(),
            },
        };
        *latest = Some(check);
        check.is_down.then(|| InstanceKey::from(instance).into())
    }
}
