//! Umbrella crate of rhubarblanding.

pub mod cli;
