//! States of one attempt to get a request answered, and the decision after a failed attempt.

mod decide;
mod life_cycle;

pub use decide::{FailedAttempt, NextStep, next_step};
pub use life_cycle::{Answered, Attempt, Lost, Planned, Sent};
