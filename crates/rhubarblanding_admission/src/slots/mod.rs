//! Gate in front of a backend server that announces how many requests it runs at a time.
//!
//! [`SlotGate`] hands out the announced slots. What finds none waits in an order that gives the
//! slots to the requests that gain most, and is refused at once if its turn would come too late.

mod estimate;
mod gate;
mod open_limit;
mod queue;

pub use estimate::KindKey;
pub use gate::{SlotArrival, SlotDecision, SlotEvent, SlotGate, SlotInputs, SlotSettings};
