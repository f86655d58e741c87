//! Settings of the operator command line.

use std::time::Duration;

use ::settings::{Check, Fault, Reason};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tables::Name;

/// Addresses of the platform and the processes, and timeouts.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// URLs of the platform's service, at least one.
    pub platform: Vec<Name>,
    /// Operations addresses (`IP:PORT`) of the processes that `--wait`, `status`
    /// and `explain` query.
    #[serde(default)]
    pub operations: Vec<Name>,
    /// Timeout of one call, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms", default = "default_timeout")]
    pub timeout: Duration,
    /// Timeout of one change including its retries, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "accept_ms", default = "default_accept")]
    pub accept: Duration,
    /// Timeout of `--wait`, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "wait_ms", default = "default_wait")]
    pub wait: Duration,
}

fn default_timeout() -> Duration {
    Duration::from_secs(2)
}

fn default_accept() -> Duration {
    Duration::from_secs(10)
}

fn default_wait() -> Duration {
    Duration::from_secs(10)
}

impl Check for Settings {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.platform.is_empty() {
            faults.push(Fault::new("/platform", Reason::Empty));
        }
        if self.timeout.is_zero() {
            faults.extend(Fault::out_of_range("/timeout_ms", 0.0, 1.0..=600_000.0));
        }
        faults
    }
}
