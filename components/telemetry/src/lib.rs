//! Counters, logs and dumps of a process.
//!
//! [`Metrics`] holds a process's counters, [`init_log`] sets up its log and
//! [`operations`] serves both, with health, readiness and a dump of the state,
//! on the operations address.

pub mod dump;
mod json_log;
mod log_setup;
mod metrics;
mod operations;

pub use json_log::{Bounded, init_json_log};
pub use log_setup::{Level, LogError, init_log};
pub use metrics::{Counter, Gauge, Histogram, Metrics, MetricsError};
pub use operations::{Readiness, operations};
