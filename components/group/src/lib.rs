//! Rank groups: step grants, leadership and expert placement.

mod message;

pub use message::Message;
