//! Rate limit on the updates that a node forwards.

use rhubarblanding_core::prelude::MonoTime;

/// Token bucket, one token for each forwarded update.
#[derive(Clone, Copy, Debug)]
pub struct SpreadBudget {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled: MonoTime,
}

impl SpreadBudget {
    /// Creates a full bucket of `burst` tokens, refilled by `rate` tokens a second.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            refilled: MonoTime::ZERO,
        }
    }

    /// Takes one token and returns `true`, or returns `false` if the bucket is empty.
    pub fn take(&mut self, now: MonoTime) -> bool {
        let passed = now.since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.refilled = now;
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
