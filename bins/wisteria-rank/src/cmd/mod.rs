//! The command line and what it starts.

pub mod flags;
pub mod serve;
