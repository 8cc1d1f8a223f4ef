//! Life cycle of one attempt to have a request answered, and the decision after a failed one.

mod decide;
mod life_cycle;

pub use decide::{FailedAttempt, NextStep, next_step};
pub use life_cycle::{Answered, Attempt, Lost, Planned, Sent};
