//! An agent beside a rank of a group: reports, orders and leadership.
//!
//! The decisions are those of [`group::switch::Leader`]; this crate reads the
//! rank's reports, gives it orders, and decides by silence whom to follow.

mod agent;
mod election;
pub mod fanout;
mod rank_client;
pub mod roster;
mod run;
mod settings;

pub use election::Follow;
pub use run::run;
pub use settings::Settings;
