//! Admission gate of a backend server that announces how many requests it runs at a time.
//!
//! [`SlotGate`] assigns the announced slots. A request that finds no free slot waits in a priority
//! queue, or is refused at once if it would get a slot too late. Among requests of equal urgency, slots
//! are shared between client accounts. While the backend server names a rate
//! limit, requests are spaced to keep it.

mod estimate;
mod fair;
mod gate;
mod open_limit;
mod pacer;
mod queue;
mod rate;
mod types;

pub use estimate::{KindKey, LongestTimes};
pub use gate::SlotGate;
pub use rate::{InvalidRate, RequestRate};
pub use types::{SlotArrival, SlotDecision, SlotEvent, SlotInputs, SlotSettings};
