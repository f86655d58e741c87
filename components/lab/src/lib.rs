//! Stand-ins, load and experiments for development.

pub mod engine;
pub mod load;
pub mod platform;
pub mod server;
pub mod service;

pub use server::{Handle, ServeError};
