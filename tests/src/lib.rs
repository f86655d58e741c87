//! Shared code of the system tests: real daemons on loopback, and a simulation
//! of the production state machines in simulated time.

pub mod caller;
pub mod cluster;
pub mod endless;
pub mod port;
pub mod process;
pub mod ranks;
pub mod settings;
pub mod world;
