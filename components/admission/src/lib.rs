//! Admission control of an agent: which requests its backend server runs, and when.

mod attempt;
pub mod baseline;
pub mod experiment;
pub mod gate;
pub mod limit;
pub mod queue;
mod scheduler;
pub mod suspect;
mod tombstone;

pub use gate::Gate;
