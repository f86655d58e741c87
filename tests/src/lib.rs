//! Shared parts of the system tests: real daemons on loopback, and a world of
//! the shipping state machines in fake time.

pub mod caller;
pub mod cluster;
pub mod port;
pub mod process;
pub mod ranks;
pub mod settings;
pub mod world;
