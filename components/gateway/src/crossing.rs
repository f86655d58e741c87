//! Metrics of the traffic between availability zones.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use tables::Name;
use telemetry::{Counter, Metrics};

/// Largest number of pairs of pool and zone with their own labels. Both names come from
/// objects in the store, which may be renamed any number of times.
const MAX_LABELS: usize = 64;

/// Label of the pairs beyond [`MAX_LABELS`].
const OTHER: &str = "other";

/// Counters of the requests that left the entry's zone, by pool and target zone.
pub struct Crossings {
    metrics: Metrics,
    home: Name,
    counters: Mutex<BTreeMap<(Name, Name), Counters>>,
}

#[derive(Clone)]
struct Counters {
    requests: Counter,
    bytes: Counter,
}

impl Crossings {
    pub fn new(metrics: &Metrics, home: Name) -> Crossings {
        Crossings { metrics: metrics.clone(), home, counters: Mutex::default() }
    }

    /// Counts an attempt at a server of `zone`.
    pub fn record_request(&self, pool: &Name, zone: &Name) {
        if let Some(counters) = self.counters(pool, zone) {
            counters.requests.add(1);
        }
    }

    /// Counts bytes sent to or received from a server of `zone`.
    pub fn record_bytes(&self, pool: &Name, zone: &Name, bytes: usize) {
        if let Some(counters) = self.counters(pool, zone) {
            counters.bytes.add(bytes as u64);
        }
    }

    /// The counters of a pool and a zone; `None` if it is the entry's own.
    fn counters(&self, pool: &Name, zone: &Name) -> Option<Counters> {
        if *zone == self.home {
            return None;
        }
        let mut known = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let mut key = (pool.clone(), zone.clone());
        if known.len() >= MAX_LABELS && !known.contains_key(&key) {
            key = (OTHER.into(), OTHER.into());
        }
        let (pool, zone) = key.clone();
        let create = || {
            let labels = [("pool", pool.as_str()), ("zone", zone.as_str())];
            let counter = |name, help| self.metrics.counter(name, help, &labels);
            Counters {
                requests: counter("gateway_zone_requests", "Attempts in another zone"),
                bytes: counter("gateway_zone_bytes", "Bytes to and from another zone"),
            }
        };
        Some(known.entry(key).or_insert_with(create).clone())
    }
}

/// Logs a change of the share that leaves the zone.
pub fn log(change: &balance::zone::Change) {
    let percent = |share: f64| (share * 100.0).round() as u64;
    let zones: Vec<String> =
        change.shares.iter().map(|(zone, share)| format!("{zone}:{}", percent(*share))).collect();
    log::info!(target: "zones", pool:% = change.pool, percent = percent(change.share),
        before = percent(change.before), zones:% = zones.join(","), cause:% = change.cause,
        demand = change.demand as u64, slots = change.slots as u64;
        "share of traffic that leaves the zone changed");
}
