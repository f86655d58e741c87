//! Metrics, logs and state dumps of a process.
//!
//! [`Metrics`] holds the process's instruments and [`init_log`] sets up its log.
//! [`operations`] serves the metrics, liveness, readiness and a state dump on the
//! operations address.

pub mod dump;
mod json_log;
mod log_setup;
mod metrics;
mod operations;

pub use json_log::{JsonAppender, init_json_log};
pub use log_setup::{Level, LogError, init_log};
pub use metrics::{Counter, Gauge, Histogram, Metrics, MetricsError};
pub use operations::{Readiness, operations};
