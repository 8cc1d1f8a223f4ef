//! Retry budgets of the services.

use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::Membership;
use rhubarblanding_node::process::parking::lock;
use rhubarblanding_request::window::{WindowBudget, WindowSettings};

use super::shared::Shared;

/// Share of the allowed retries per request (`ratio`) that a node uses. The rest covers requests
/// that were counted but did not arrive.
const RETRY_RATIO_SHARE: f64 = 0.8;
/// Share of the additional retry allowance (`slack`) that all nodes use together.
const RETRY_SLACK_SHARE: f64 = 0.5;
/// Minimum number of nodes assumed to share the retry bound.
const RETRY_NODES_MIN: usize = 8;
/// Retries per first attempt in a tenth of the window.
const RETRY_BURST_RATIO: f64 = 0.5;
/// Percentage of the retry budget that a retry leaves to more useful ones, for each further call
/// that must succeed after it.
const RETRY_RESERVE_PERCENT: u32 = 25;
/// Upper bound of the reserved share of the retry budget, in percent.
const RETRY_RESERVE_MAX_PERCENT: u32 = 75;

impl Shared {
    /// Counts a first attempt to `service` in its retry budget.
    pub fn count_first_attempt(&self, service: &ServiceName) {
        self.with_budget(service, |budget, now| budget.record_first_attempt(now));
    }

    /// Charges a request to `service` that counts as a retry to its retry budget.
    pub fn charge_repeat(&self, service: &ServiceName) {
        self.with_budget(service, |budget, now| budget.charge(now));
    }

    /// Takes a retry from the budget; returns `true` if a request to `service` may be sent to a
    /// second target. The fewer calls must still succeed after it, the more useful a retry is.
    pub fn take_retry(&self, service: &ServiceName, calls_left: u32) -> bool {
        let reserve = calls_left.saturating_mul(RETRY_RESERVE_PERCENT);
        let reserve = reserve.min(RETRY_RESERVE_MAX_PERCENT);
        let taken = self.with_budget(service, |budget, now| budget.take(now, reserve));
        if taken {
            self.metrics.retried();
        }
        taken
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        update: impl FnOnce(&mut WindowBudget, MonoTime) -> T,
    ) -> T {
        let now = self.clock.now();
        let bound = self.settings().retry_bound;
        let nodes = self.with_member(Membership::view_len).max(RETRY_NODES_MIN);
        let slack = bound.slack * RETRY_SLACK_SHARE / nodes as f64;
        let mut budgets = lock(&self.budgets);
        if let Some(budget) = budgets.get_mut(service) {
            budget.set_slack(slack);
            return update(budget, now);
        }
        let settings = WindowSettings {
            window: bound.window,
            ratio: bound.ratio * RETRY_RATIO_SHARE,
            slack,
            burst_ratio: RETRY_BURST_RATIO,
        };
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| WindowBudget::new(now, settings));
        update(budget, now)
    }
}
