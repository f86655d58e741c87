//! Shared parts of the system tests: real daemons on loopback.

pub mod caller;
pub mod cluster;
pub mod port;
pub mod process;
