//! What lives for a request: entry, dispatch, service at the target, and their answers.

pub mod answer;
mod backend;
pub mod body;
mod call;
mod dispatch;
mod entry;
pub mod faces;
mod gate;
pub mod headers;
mod keyed;
mod keyed_run;
mod load_header;
mod local;
mod once;
mod operator;
mod recorded;
mod registry;
mod serve;

pub use call::{CallRequest, Hop};
pub use gate::{GateDriver, GatePass};
pub use once::OnceDriver;
pub use registry::{Registry, RequestRef};
