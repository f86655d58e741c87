//! The agent daemon: a thin pipe around the decisions beside a backend server.

mod backend;
mod core;
mod health;
mod meter;
mod operations;
mod run;
mod settings;
mod state;
mod storage;

pub use run::{Error, run};
pub use settings::Settings;
pub use state::{Effect, Input, Options, State};
