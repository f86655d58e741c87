//! The agent daemon: runs next to a backend server and controls its admission.
//!
//! [`State`] makes all decisions without I/O; an actor executes its effects.

pub mod backend;
mod client;
mod core;
mod health;
mod membership;
mod meter;
mod operations;
mod orders;
pub mod rank;
mod rank_actor;
mod run;
mod settings;
mod state;
mod storage;

pub use client::{Base, Client, InvalidBase};
pub use membership::Membership;
pub use run::run;
pub use settings::Settings;
pub use state::{Effect, Input, Options, State};
