//! Stand-ins, load and experiments for development.

pub mod platform;
