//! An entry that forwards callers' requests directly to backend servers.
//!
//! [`balance::Balancer`] makes all decisions. This crate reads requests, proxies
//! them to backend servers, follows the platform's store and exchanges state with
//! the other entries.

pub mod budget;
mod crossing;
mod error;
pub mod events;
mod front;
mod intake;
mod memory;
mod meter;
mod operations;
mod peers;
pub mod quota;
mod relay;
mod reload;
pub mod request;
mod run;
pub mod sequence;
mod settings;
mod shared;
mod store;
mod timeout;

pub use error::Error;
pub use run::run;
pub use settings::Settings;
