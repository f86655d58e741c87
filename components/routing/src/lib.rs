//! Placeholder.

pub mod baseline;
pub mod budget;
pub mod choice;
pub mod experiment;
pub mod hedge;
pub mod prefix;
pub mod report;
pub mod subset;
