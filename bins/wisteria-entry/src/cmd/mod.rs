//! Command-line flags and start of the daemon.

pub mod flags;
pub mod serve;
