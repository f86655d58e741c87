//! The commands, a file each.

pub mod demo;
pub mod engine;
pub mod flags;
pub mod load;
pub mod platform;
pub mod service;
