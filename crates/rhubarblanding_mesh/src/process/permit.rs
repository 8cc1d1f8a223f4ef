//! Guards of requests that wait for, or run at, the local target.

use std::sync::Arc;

use http::StatusCode;
use rhubarblanding_core::prelude::*;

use super::shared::Shared;
use crate::protocol::Instance;

/// Permit for one request at the target. Dropping it frees the slot.
pub struct SlotPermit {
    slot: Option<Slot>,
    instance: Instance,
    deadline: MonoTime,
}

/// Slot of an admitted request. Dropping it frees the slot.
pub(super) struct Slot {
    node: Arc<Shared>,
    id: u64,
    answered: bool,
}

impl Slot {
    pub(super) fn new(node: &Arc<Shared>, id: u64) -> Self {
        Self {
            node: Arc::clone(node),
            id,
            answered: false,
        }
    }
}

impl SlotPermit {
    pub(super) fn new(slot: Slot, instance: Instance, deadline: MonoTime) -> Self {
        Self {
            slot: Some(slot),
            instance,
            deadline,
        }
    }

    /// Returns the time after which the answer is of no use.
    pub fn deadline(&self) -> MonoTime {
        self.deadline
    }

    /// Returns the instance that the request is addressed to.
    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    /// Records that the target answered with `status`.
    pub fn answered(&mut self, status: StatusCode) {
        if let Some(slot) = &mut self.slot {
            slot.answered = status.is_success();
        }
    }

    /// Moves the slot to a new permit, for the body that forwards the rest of the answer.
    pub fn take(&mut self) -> Option<Self> {
        Some(Self {
            slot: Some(self.slot.take()?),
            instance: self.instance.clone(),
            deadline: self.deadline,
        })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.node.local.release(&self.node, self.id, self.answered);
    }
}

/// Counts a request as running at the target until the guard is dropped.
pub struct RunningGuard {
    node: Arc<Shared>,
    id: Box<[u8]>,
    succeeded: bool,
}

impl RunningGuard {
    pub(super) fn new(node: &Arc<Shared>, id: &[u8]) -> Self {
        Self {
            node: Arc::clone(node),
            id: id.into(),
            succeeded: false,
        }
    }

    /// Records that the request succeeded.
    pub fn succeeded(&mut self) {
        self.succeeded = true;
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.node.local.end_run(&self.id, self.succeeded);
    }
}

/// Removes a waiting request from the queue if its sender cancels it.
pub(super) struct WaitGuard<'a> {
    node: &'a Arc<Shared>,
    id: u64,
    armed: bool,
}

impl<'a> WaitGuard<'a> {
    pub(super) fn new(node: &'a Arc<Shared>, id: u64) -> Self {
        Self {
            node,
            id,
            armed: true,
        }
    }

    pub(super) fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.node.local.cancel(self.node, self.id);
        }
    }
}
