//! Slots of a backend server: a number of permits that can be changed while it runs.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Slots of a backend server and the count of requests inside it.
#[derive(Debug)]
pub struct Slots {
    permits: Arc<Semaphore>,
    total: AtomicU32,
    inside: AtomicU32,
}

/// Presence of one request inside the backend server, running or waiting.
#[derive(Debug)]
pub struct Presence {
    slots: Arc<Slots>,
}

impl Drop for Presence {
    fn drop(&mut self) {
        self.slots.inside.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Slots {
    /// `total` slots, all free.
    pub fn new(total: u32) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(total as usize)),
            total: AtomicU32::new(total),
            inside: AtomicU32::new(0),
        }
    }

    /// Number of requests inside, running or waiting.
    pub fn inside(&self) -> u32 {
        self.inside.load(Ordering::Relaxed)
    }

    /// Enters a request.
    pub fn enter(self: &Arc<Self>) -> Presence {
        self.inside.fetch_add(1, Ordering::Relaxed);
        Presence {
            slots: self.clone(),
        }
    }

    /// Waits for a slot, first come first served.
    pub async fn acquire(&self) -> Option<OwnedSemaphorePermit> {
        self.permits.clone().acquire_owned().await.ok()
    }

    /// Changes the number of slots; running requests keep theirs.
    pub fn resize(&self, total: u32) {
        let before = self.total.swap(total, Ordering::Relaxed);
        if total > before {
            self.permits.add_permits((total - before) as usize);
            return;
        }
        let permits = self.permits.clone();
        let surplus = before - total;
        tokio::spawn(async move {
            if let Ok(taken) = permits.acquire_many_owned(surplus).await {
                taken.forget();
            }
        });
    }
}
