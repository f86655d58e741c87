//! The commands, one module each.

pub mod bench;
pub mod demo;
pub mod engine;
pub mod experiment;
pub mod flags;
pub mod load;
pub mod platform;
pub mod result;
pub mod service;
