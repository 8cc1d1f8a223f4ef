//! Admission gate of one backend server: concurrency limit, queue and shedding by importance.

mod estimate;
mod level;
mod message;
mod queue;
mod settings;
mod state;

pub use message::{Arrival, Decision, Finish, FinishResult, GateEvent, KindId};
pub use settings::{AgePolicy, GateSettings};
pub use state::Gate;
