//! Stand-ins for tests: platform store, backend server, caller load and TCP relay.

pub mod store;
