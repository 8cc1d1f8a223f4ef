//! What lives for a process: shared state, clocks, counters, logs, and starting and stopping.

mod clock;
mod counters;
mod documents;
mod homes;
pub mod json_lines;
pub mod logs;
mod member;
mod node;
pub mod parking;
mod phase;
mod shared;
pub mod ticks;

pub use clock::Clock;
pub use counters::{Counters, Event, Reporter};
pub use documents::adopt as adopt_document;
pub use homes::send_once;
pub use node::{Node, NodeHandle, StartError};
pub use phase::{Draining, Lifecycle, PhaseReader, Serving, Starting};
pub use shared::Shared;
