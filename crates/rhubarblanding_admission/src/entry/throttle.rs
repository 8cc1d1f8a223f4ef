//! Throttling of callers that retry before their retry delay is over.

use std::time::Duration;

use rand::Rng;
use rhubarblanding_core::prelude::*;

use crate::retry_after::BackoffSettings;

/// Caller, identified by a hash that the node chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallerId(pub u64);

/// Settings of a [`CallerThrottle`].
#[derive(Clone, Debug)]
pub struct ThrottleSettings {
    /// Maximum number of callers in the table.
    pub callers_max: usize,
    /// Idle time after which a caller is removed from the table.
    pub remove_after: Duration,
    /// Early retries that are allowed before a caller is throttled.
    pub early_retries_allowed: u32,
    /// Lowest importance that is never throttled.
    pub exempt: Importance,
    /// Settings of the retry delay sent to throttled callers.
    pub backoff: BackoffSettings,
}

impl Default for ThrottleSettings {
    fn default() -> Self {
        Self {
            callers_max: 4_096,
            remove_after: Duration::from_secs(10),
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
    early_retries: u32,
}

/// Bounded table of callers that were refused for load.
///
/// Answers are never delayed: an early retry is refused at once, with a longer retry delay each
/// time. That refusal does not extend the original delay, so a caller that keeps retrying is
/// admitted when the original delay is over.
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

    /// Records that a caller was refused for load with a retry delay.
    pub fn refused(&mut self, now: MonoTime, caller: CallerId, retry_after: Duration) {
        if self.callers.len() >= self.settings.callers_max && now >= self.swept_at + SWEEP_EVERY {
            self.remove_idle(now);
        }
        let full = self.callers.len() >= self.settings.callers_max;
        if full && !self.callers.contains_key(&caller) {
            return;
        }
        let entry = self.callers.entry(caller).or_insert(Caller {
            not_before: now,
            seen_at: now,
            early_retries: 0,
        });
        entry.not_before = entry.not_before.max(now + retry_after);
        entry.seen_at = now;
    }

    /// Decides whether a request of a caller is admitted now.
    ///
    /// # Errors
    ///
    /// A refusal of kind [`ErrorKind::CallerThrottled`] if it retried early too often.
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
        entry.early_retries = entry.early_retries.saturating_add(1);
        entry.seen_at = now;
        let Some(steps) = entry
            .early_retries
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

    /// Returns the number of callers in the table.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Returns `true` if the table is empty.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }

    fn remove_idle(&mut self, now: MonoTime) {
        self.swept_at = now;
        let remove_after = self.settings.remove_after;
        self.callers.retain(|_, caller| {
            now < caller.not_before || now.since(caller.seen_at) < remove_after
        });
    }
}
