//! Umbrella crate of rhubarblanding.
