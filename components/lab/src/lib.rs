//! Stand-ins, load and experiments for development.

pub mod bench;
pub mod demo;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod load;
pub mod outage;
pub mod platform;
pub mod port;
pub mod server;
pub mod service;

pub use server::{Handle, ServeError};
