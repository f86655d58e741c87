//! Decisions of an agent: what its backend server runs, and when.

mod attempt;
pub mod baseline;
pub mod experiment;
pub mod gate;
mod lane;
pub mod limit;
pub mod queue;
mod seen;
pub mod suspect;

pub use gate::Gate;
