//! State of one request: context, deadline, retry allowance and attempts.
//!
//! A node opens each request in its [`AllowanceLedger`](allowance::AllowanceLedger). Part of the
//! allowance is lent with each downstream call and the unspent rest is returned with the answer,
//! so that the retries of a whole call tree never exceed the allowance of its root.
//! After each failed attempt, [`next_step`](attempt::next_step) decides between a retry and a
//! refusal.

pub mod allowance;
pub mod attempt;
pub mod budget;
pub mod context;
pub mod reason;
pub mod suspect;
pub mod window;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::allowance::{
        AllowanceLedger, AllowanceSettings, CallDigest, CallStart, Exhausted, LendShare, Lent,
        RequestKey, Token,
    };
    pub use crate::attempt::{
        Answered, Attempt, FailedAttempt, Lost, NextStep, Planned, Sent, next_step,
    };
    pub use crate::budget::{BudgetSettings, BudgetState, RetryBudget};
    pub use crate::context::RequestContext;
    pub use crate::reason::{RetryCounts, RetryReason};
    pub use crate::window::{WindowBudget, WindowSettings};
}
