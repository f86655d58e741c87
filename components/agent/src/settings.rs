//! Settings of the agent daemon.

use std::net::SocketAddr;
use std::time::Duration;

use ::settings::{Check, Fault, Reason};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tables::{Name, PoolKind};

use crate::client::Base;
use crate::membership::Membership;

/// Settings of the agent daemon, read from JSON. Times are in milliseconds.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host, and of its backend server, in the platform's host list.
    pub name: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Pool of the backend server.
    pub pool: Name,
    /// Kind of the backend server: `model` or `service`.
    pub kind: PoolKind,
    /// Base URL of the backend server.
    pub backend: Base,
    /// Listen address of the operations endpoints.
    pub operations: SocketAddr,
    /// Listen address for frames, `tcp://IP:PORT`.
    pub link: Name,
    /// Link addresses of the entries from which tables are pulled at startup.
    #[serde(default)]
    pub peers: Vec<Name>,
    /// Base URLs of the platform's object API.
    pub platform: Vec<Name>,
    /// Timeout of a platform call, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "platform_timeout_ms", default = "default_platform_timeout")]
    pub platform_timeout: Duration,
    /// Concurrency limit of the backend server, in requests, until the pool's
    /// row is received.
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// Number of partitions for claims; the same for all agents of the pool.
    #[serde(default = "default_partitions")]
    pub partitions: u32,
    /// Limits and timeouts of the claims.
    #[serde(default)]
    pub claims: claims::Settings,
    /// Interval of the backend server's health checks, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "check_ms", default = "default_check")]
    pub check_interval: Duration,
    /// Time limit for open requests during shutdown, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "drain_ms", default = "default_drain")]
    pub drain_timeout: Duration,
    /// The rank group of the backend server, if it belongs to one.
    #[serde(default)]
    pub group: Option<Membership>,
}

fn default_platform_timeout() -> Duration {
    Duration::from_secs(2)
}

fn default_limit() -> u32 {
    16
}

fn default_partitions() -> u32 {
    16
}

fn default_check() -> Duration {
    Duration::from_millis(250)
}

fn default_drain() -> Duration {
    Duration::from_secs(60)
}

impl Check for Settings {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let texts = [
            ("/name", &self.name),
            ("/zone", &self.zone),
            ("/pool", &self.pool),
            ("/link", &self.link),
        ];
        for (pointer, text) in texts {
            if text.is_empty() {
                faults.push(Fault::new(pointer, Reason::Empty));
            }
        }
        if self.platform.is_empty() {
            faults.push(Fault::new("/platform", Reason::Empty));
        }
        faults.extend(Fault::out_of_range("/limit", f64::from(self.limit), 1.0..=4096.0));
        faults.extend(Fault::out_of_range("/partitions", f64::from(self.partitions), 1.0..=1024.0));
        if let Some(group) = &self.group {
            let inner = group.faults(&self.link);
            faults.extend(inner.into_iter().map(|fault| fault.with_prefix("/group")));
        }
        faults
    }
}
