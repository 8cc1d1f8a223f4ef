//! Callers who come back before the time they were given.

use std::time::Duration;

use rand::Rng;
use rhubarblanding_core::prelude::*;

use crate::retry_after::BackoffSettings;

/// Caller, told apart by a hash that the node chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallerId(pub u64);

/// Settings of a [`CallerThrottle`].
#[derive(Clone, Debug)]
pub struct ThrottleSettings {
    /// Number of callers that are remembered.
    pub callers_max: usize,
    /// Quiet time after which a caller is forgotten.
    pub idle_expiry: Duration,
    /// Early returns that are let through before a caller is throttled.
    pub early_retries_allowed: u32,
    /// Lowest importance that is never throttled.
    pub exempt: Importance,
    /// Settings of the time that throttled callers are asked to wait.
    pub backoff: BackoffSettings,
}

impl Default for ThrottleSettings {
    fn default() -> Self {
        Self {
            callers_max: 4_096,
            idle_expiry: Duration::from_secs(10),
            early_retries_allowed: 3,
            exempt: Importance::High,
            backoff: BackoffSettings::default(),
        }
    }
}

/// Shortest time between two sweeps of a full table.
const SWEEP_EVERY: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct Caller {
    not_before: MonoTime,
    seen_at: MonoTime,
    early: u32,
}

/// Bounded table of callers that were refused for load.
///
/// An answer is never delayed: an early caller is refused at once, with a longer time to wait
/// each time it comes back early. That answer does not move the time it has to wait out, so a caller
/// who keeps asking is let in when it is over.
#[derive(Debug, Default)]
pub struct CallerThrottle {
    settings: ThrottleSettings,
    callers: HashMap<CallerId, Caller>,
    swept_at: MonoTime,
}

impl CallerThrottle {
    /// Creates an empty table.
    pub fn new(settings: ThrottleSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that a caller was refused for load and told to wait.
    pub fn refused(&mut self, now: MonoTime, caller: CallerId, retry_after: Duration) {
        if self.callers.len() >= self.settings.callers_max && now >= self.swept_at + SWEEP_EVERY {
            self.forget_quiet(now);
        }
        let full = self.callers.len() >= self.settings.callers_max;
        if full && !self.callers.contains_key(&caller) {
            return;
        }
        let entry = self.callers.entry(caller).or_insert(Caller {
            not_before: now,
            seen_at: now,
            early: 0,
        });
        entry.not_before = entry.not_before.max(now + retry_after);
        entry.seen_at = now;
    }

    /// Decides whether a caller may ask now.
    ///
    /// # Errors
    ///
    /// A refusal of kind [`ErrorKind::CallerThrottled`] if it comes back too early too often.
    pub fn check(
        &mut self,
        now: MonoTime,
        rng: &mut impl Rng,
        caller: CallerId,
        importance: Importance,
    ) -> Result<(), Refusal> {
        if importance >= self.settings.exempt {
            return Ok(());
        }
        let Some(entry) = self.callers.get_mut(&caller) else {
            return Ok(());
        };
        if now >= entry.not_before {
            self.callers.remove(&caller);
            return Ok(());
        }
        entry.early = entry.early.saturating_add(1);
        entry.seen_at = now;
        let Some(steps) = entry
            .early
            .checked_sub(self.settings.early_retries_allowed + 1)
        else {
            return Ok(());
        };
        let left = now.until(entry.not_before);
        let retry_after = left.max(self.settings.backoff.draw(rng, steps));
        Err(Refusal::with_retry_after(
            ErrorKind::CallerThrottled,
            retry_after,
        ))
    }

    /// Number of callers that are remembered.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Whether no caller is remembered.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }

    fn forget_quiet(&mut self, now: MonoTime) {
        self.swept_at = now;
        let idle_expiry = self.settings.idle_expiry;
        self.callers
            .retain(|_, caller| now < caller.not_before || now.since(caller.seen_at) < idle_expiry);
    }
}
