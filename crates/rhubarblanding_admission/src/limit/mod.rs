//! Concurrency limit, adapted to the measured latency and to shedding by the backend server.

mod baseline;
mod control;
mod settings;
mod window;

pub(crate) use control::LimitControl;
pub use settings::{LimitPolicy, LimitSettings};
pub(crate) use window::Sample;
