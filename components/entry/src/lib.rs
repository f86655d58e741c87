//! The entry daemon: a thin pipe around the router's decisions.
//!
//! HTTP requests, frames, the platform's changes and timers become inputs of
//! one actor; its outputs become frames and parts of answers.

mod core;
mod http;
mod meter;
mod operations;
mod problem;
mod run;
mod settings;

pub use run::run;
pub use settings::Settings;
