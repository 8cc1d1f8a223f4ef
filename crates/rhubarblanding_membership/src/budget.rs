//! Token bucket that bounds how many changes a node passes on.

use rhubarblanding_core::prelude::MonoTime;

/// Token bucket.
#[derive(Clone, Copy, Debug)]
pub struct SpreadBudget {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled: MonoTime,
}

impl SpreadBudget {
    /// Full bucket of `burst` tokens, refilled by `rate` tokens a second.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            refilled: MonoTime::ZERO,
        }
    }

    /// Takes one token, if there is one.
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
