//! Choice of a target for each request to one service.

mod index;
mod settings;
mod speeds;
mod state;

pub use settings::{DrainingUse, RouterSettings};
pub use state::{PickRequest, Router, SpeedChange};
