//! Turn of a request among those of its connection, and the time of its arrival.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use tokio::sync::Notify;

/// Time at which the first byte of a request arrived; an extension of requests that waited unread.
#[derive(Clone, Copy, Debug)]
pub struct Arrival(pub Instant);

/// Turn of a request; an extension of requests that are handled before the answers to earlier ones
/// of their connection are written.
#[derive(Clone, Debug, Default)]
pub struct Turn(Arc<State>);

#[derive(Debug, Default)]
struct State {
    is_awaited: AtomicBool,
    come: Notify,
}

impl Turn {
    /// Waits until all earlier answers are written. No later request of the connection is started
    /// meanwhile.
    pub async fn wait(&self) {
        self.0.is_awaited.store(true, Ordering::Relaxed);
        self.0.come.notified().await;
    }

    /// Returns `true` if the request waits, or waited, for its turn.
    pub(super) fn is_awaited(&self) -> bool {
        self.0.is_awaited.load(Ordering::Relaxed)
    }

    /// Lets the request continue.
    pub(super) fn come(&self) {
        self.0.come.notify_one();
    }
}
