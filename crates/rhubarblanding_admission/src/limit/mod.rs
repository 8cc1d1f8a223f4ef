//! Concurrency limit learned from latency and from what the backend server sheds.

mod baseline;
mod control;
mod settings;
mod window;

pub(crate) use control::LimitControl;
pub use settings::{LimitPolicy, LimitSettings};
pub(crate) use window::Sample;
