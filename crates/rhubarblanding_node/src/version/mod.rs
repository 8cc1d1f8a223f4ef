//! What lives for a version: the document in force and what is known of each service.

mod document;
mod services;

pub use document::{CurrentDocument, kind_id};
pub use services::{ServiceState, Services};
