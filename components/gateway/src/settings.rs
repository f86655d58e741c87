//! Settings of an entry that forwards requests directly to backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use ::settings::{Check, Fault, Reason};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSecondsWithFrac, serde_as};
use tables::Name;

/// Settings of the entry, read from JSON. Durations are in milliseconds.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub name: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Address that serves callers.
    pub listen: SocketAddr,
    /// Address that the platform probes for readiness.
    pub ready: SocketAddr,
    /// Address for metrics, dumps and readiness.
    pub operations: SocketAddr,
    /// Address that receives frames from other entries.
    pub link: SocketAddr,
    /// Addresses of hosts that may run an entry. Only the IP address is used,
    /// since all entries receive frames on the same port.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Retry limits that apply to all entries together.
    pub limits: balance::Limits,
    /// Retention of state that a restored store has lost.
    #[serde(default)]
    pub holds: balance::hold::Bounds,
    /// Times within which changes in the store must take effect.
    #[serde(default)]
    pub freshness: balance::freshness::Bounds,
    /// Locality-aware routing.
    #[serde(default)]
    pub zones: balance::zone::Settings,
    /// Memory that the process may use, in MiB.
    #[serde(default = "memory_mb")]
    pub memory_mb: u64,
    /// Descriptors that the process may open; the limit of the system if not given.
    #[serde(default)]
    pub descriptors: Option<u64>,
    /// Time between the stop signal and the forced stop.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "grace_ms")]
    pub grace: Duration,
}

/// Default memory limit, in MiB: that of the smallest host.
fn memory_mb() -> u64 {
    128
}

/// Valid range of the memory limit, in MiB.
const MEMORY_BOUNDS: std::ops::RangeInclusive<f64> = 16.0..=1_048_576.0;

/// Valid range of the number of descriptors.
const DESCRIPTOR_BOUNDS: std::ops::RangeInclusive<f64> = 64.0..=1e9;

/// Valid range of the grace period, in milliseconds.
const GRACE_BOUNDS: std::ops::RangeInclusive<f64> = 1_000.0..=600_000.0;

/// Valid range of the time within which a change in the store must take effect, in
/// milliseconds.
const FRESHNESS_BOUNDS: std::ops::RangeInclusive<f64> = 100.0..=3_600_000.0;

/// Valid range of the durations of locality-aware routing, in milliseconds. A longer wait
/// than the upper bound is never preferable to another zone.
const ZONE_BOUNDS: std::ops::RangeInclusive<f64> = 0.0..=1_000.0;

/// Valid range of the time in which zone shares follow the load, in milliseconds. The
/// lower bound is two intervals between reports of other entries.
const SETTLE_BOUNDS: std::ops::RangeInclusive<f64> = 200.0..=60_000.0;

impl Check for Settings {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (pointer, text) in [("/name", &self.name), ("/zone", &self.zone)] {
            if text.is_empty() {
                faults.push(Fault::new(pointer, Reason::Empty));
            }
        }
        let listeners = [
            ("/listen", self.listen),
            ("/ready", self.ready),
            ("/operations", self.operations),
            ("/link", self.link),
        ];
        for (index, (pointer, address)) in listeners.iter().enumerate() {
            if let Some((other, _)) =
                listeners[..index].iter().find(|(_, earlier)| earlier == address)
            {
                faults.push(Fault::new(*pointer, Reason::Conflict { other: (*other).into() }));
            }
        }
        faults.extend(Fault::out_of_range(
            "/grace_ms",
            self.grace.as_secs_f64() * 1e3,
            GRACE_BOUNDS,
        ));
        let freshness = [
            ("/freshness/config_ms", self.freshness.config),
            ("/freshness/server_ms", self.freshness.server),
            ("/freshness/zone_ms", self.freshness.zone),
        ];
        for (pointer, limit) in freshness {
            faults.extend(Fault::out_of_range(
                pointer,
                limit.as_secs_f64() * 1e3,
                FRESHNESS_BOUNDS,
            ));
        }
        let zones = [
            ("/zones/crossing_ms", self.zones.crossing, ZONE_BOUNDS),
            ("/zones/megabyte_ms", self.zones.megabyte, ZONE_BOUNDS),
            ("/zones/delay_ms", self.zones.delay, ZONE_BOUNDS),
            ("/zones/settle_ms", self.zones.settle, SETTLE_BOUNDS),
        ];
        for (pointer, time, bounds) in zones {
            faults.extend(Fault::out_of_range(pointer, time.as_secs_f64() * 1e3, bounds));
        }
        faults.extend(Fault::out_of_range("/zones/reserve", self.zones.reserve, 0.0..=0.9));
        faults.extend(Fault::out_of_range("/memory_mb", self.memory_mb as f64, MEMORY_BOUNDS));
        if let Some(descriptors) = self.descriptors {
            let fault = Fault::out_of_range("/descriptors", descriptors as f64, DESCRIPTOR_BOUNDS);
            faults.extend(fault);
        }
        faults.extend(Fault::out_of_range(
            "/limits/retry_ratio",
            self.limits.retry_ratio,
            0.0..=10.0,
        ));
        faults
    }
}

impl Settings {
    /// Name of the entry's link.
    pub fn link_name(&self) -> Name {
        link_name(self.link)
    }

    /// Names of the seeds' links.
    pub fn seed_links(&self) -> Vec<Name> {
        let port = self.link.port();
        self.seeds.iter().map(|seed| link_name(SocketAddr::new(seed.ip(), port))).collect()
    }
}

fn link_name(address: SocketAddr) -> Name {
    format!("tcp://{address}").into()
}
