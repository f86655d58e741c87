//! An entry that sends callers' requests straight to backend servers.
//!
//! All decisions are made by [`balance::Balancer`]; this crate reads requests,
//! speaks to backend servers, follows the store and tells the other entries.

mod error;
pub mod events;
mod front;
mod meter;
mod operations;
mod peers;
pub mod quota;
mod relay;
mod reload;
mod request;
mod run;
mod settings;
mod shared;
mod store;
mod timeout;

pub use error::Error;
pub use run::run;
pub use settings::Settings;
