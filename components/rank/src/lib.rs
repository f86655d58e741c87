//! Agent that runs beside a rank of a group: reports, orders and leadership.
//!
//! [`group::switch::Leader`] makes the decisions. This crate reads the rank's
//! reports, sends it orders and elects the leader among the agents by time-outs.

mod agent;
mod election;
pub mod fanout;
mod rank_client;
pub mod roster;
mod run;
mod settings;

pub use election::Election;
pub use run::run;
pub use settings::Settings;
