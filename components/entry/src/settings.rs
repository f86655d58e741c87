//! Settings of the entry daemon.

use std::net::SocketAddr;
use std::time::Duration;

use ::settings::{Check, Fault, Reason};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tables::Name;

use crate::budget;

/// Settings of the entry daemon, read from JSON. Times are in milliseconds,
/// sizes in bytes.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host in the platform's host list.
    pub name: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address of the operations endpoints.
    pub operations: SocketAddr,
    /// Listen address for frames, `tcp://IP:PORT`.
    pub link: Name,
    /// Link addresses of other entries, from which tables are pulled at startup.
    #[serde(default)]
    pub peers: Vec<Name>,
    /// Base URLs of the platform's object API.
    pub platform: Vec<Name>,
    /// Timeout of a platform call, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "platform_timeout_ms", default = "default_platform_timeout")]
    pub platform_timeout: Duration,
    /// Settings of the platform watch.
    #[serde(default)]
    pub watch: platform::watch::Settings,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: usize,
    /// Bytes that the bodies of all open requests may hold together.
    #[serde(default = "default_body_budget")]
    pub body_budget: usize,
    /// Maximum number of callers' connections; further ones wait to be accepted.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Worker threads for callers.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Time during shutdown between reporting not ready and refusing new
    /// requests, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "linger_ms", default = "default_linger")]
    pub linger: Duration,
    /// Time limit for open requests during shutdown, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "drain_ms", default = "default_drain")]
    pub drain_timeout: Duration,
    /// Seed of the router's random choices.
    #[serde(default)]
    pub seed: u64,
}

fn default_platform_timeout() -> Duration {
    Duration::from_secs(2)
}

fn default_body_limit() -> usize {
    1 << 20
}

fn default_body_budget() -> usize {
    64 << 20
}

/// With the descriptors of operators and links below the usual limit of 1,024
/// descriptors of a process.
fn default_connections() -> usize {
    640
}

fn default_workers() -> usize {
    2
}

fn default_linger() -> Duration {
    Duration::from_secs(1)
}

fn default_drain() -> Duration {
    Duration::from_secs(60)
}

/// Maximum request body that fits into a frame with the other fields.
const BODY_MAX_BYTES: usize = 16 << 20;

impl Check for Settings {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (pointer, text) in [("/name", &self.name), ("/zone", &self.zone), ("/link", &self.link)]
        {
            if text.is_empty() {
                faults.push(Fault::new(pointer, Reason::Empty));
            }
        }
        if self.platform.is_empty() {
            faults.push(Fault::new("/platform", Reason::Empty));
        }
        if self.listen == self.operations {
            faults.push(Fault::new("/operations", Reason::Conflict { other: "/listen".into() }));
        }
        faults.extend(Fault::out_of_range(
            "/body_limit",
            self.body_limit as f64,
            1.0..=BODY_MAX_BYTES as f64,
        ));
        if budget::large_limit(self.body_budget) < self.body_limit {
            let reason = Reason::Conflict { other: "/body_limit".into() };
            faults.push(Fault::new("/body_budget", reason));
        }
        faults.extend(Fault::out_of_range(
            "/connections",
            self.connections as f64,
            1.0..=100_000.0,
        ));
        faults.extend(Fault::out_of_range("/workers", self.workers as f64, 1.0..=64.0));
        faults
    }
}
