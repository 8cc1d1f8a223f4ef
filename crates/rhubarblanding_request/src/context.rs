//! Properties that a request inherits from its root and passes to its downstream calls.

use std::time::Duration;

use rhubarblanding_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Properties of one request, fixed when it is opened at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestContext {
    /// Root request of the chain.
    pub root: RootId,
    /// Importance decided at the root.
    pub importance: Importance,
    /// Priority derived from the importance and the root.
    pub priority: Priority,
    /// Time, on this node's clock, after which the answer is of no use.
    pub deadline: MonoTime,
    /// Idempotency, which determines whether this request may run twice.
    pub idempotency: Idempotency,
}

impl RequestContext {
    /// Creates the context of a root request.
    pub fn new(
        root: RootId,
        importance: Importance,
        deadline: MonoTime,
        idempotency: Idempotency,
    ) -> Self {
        Self {
            root,
            importance,
            priority: Priority::new(importance, root),
            deadline,
            idempotency,
        }
    }

    /// Creates the context of a downstream call, which inherits everything but the idempotency.
    ///
    /// The deadline of the call is never later than that of the request that makes it.
    pub fn downstream(&self, deadline: MonoTime, idempotency: Idempotency) -> Self {
        Self {
            deadline: self.deadline.min(deadline),
            idempotency,
            ..*self
        }
    }

    /// Returns the time left until the deadline, zero if it has passed.
    pub fn remaining(&self, now: MonoTime) -> Duration {
        now.until(self.deadline)
    }

    /// Returns `true` if the deadline has passed.
    pub fn is_expired(&self, now: MonoTime) -> bool {
        now >= self.deadline
    }
}
