//! The entry daemon: accepts HTTP requests and routes them to agents.
//!
//! An actor passes requests, frames, platform updates and timer ticks to the
//! [`routing::Router`], which makes all decisions, and executes its outputs.

pub mod budget;
mod core;
mod http;
pub mod intake;
mod meter;
mod operations;
mod problem;
mod run;
mod settings;

pub use run::run;
pub use settings::Settings;
