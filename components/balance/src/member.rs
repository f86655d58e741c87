//! An entry's state for one backend server: its description, load and health.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use tables::Name;

use crate::cold::Bucket;
use crate::content::Server;
use crate::gossip::Work;
use crate::notice::Start;

/// Consecutive failures after which a server is paused.
const FAILURES_BEFORE_PAUSE: u32 = 2;

/// Initial pause of a failing server; doubles with each further failure.
const PAUSE_MIN: Duration = Duration::from_millis(400);

/// Maximum pause of a failing server.
const PAUSE_MAX: Duration = Duration::from_millis(3200);

/// Weight of the latest outcome in the failure rate (moving average).
const FAILURE_WEIGHT: f64 = 0.15;

/// Age after which the load reported by another entry is ignored.
const LOAD_LIFETIME: Duration = Duration::from_secs(2);

/// A backend server as this entry sees it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The server's description of itself.
    pub server: Server,
    /// Time from which on it is warm.
    pub warm_at: Duration,
    /// Rate limit while it is cold.
    pub bucket: Bucket,
    /// Open work that this entry sent.
    pub own: Work,
    others: BTreeMap<Name, (Work, Duration)>,
    failures: u32,
    failure_rate: f64,
    paused_until: Duration,
    misdirected: bool,
}

/// State of a member in a dump.
#[derive(Debug, Serialize)]
pub struct Summary {
    pool: Name,
    zone: Name,
    address: std::net::SocketAddr,
    draining: bool,
    cold_ms: u128,
    open_here: u32,
    open_all: u32,
    failure_rate: f64,
    paused_ms: u128,
    misdirected: bool,
}

impl Member {
    /// Creates the member for a server that is new to this entry.
    pub fn new(now: Duration, server: Server) -> Member {
        Member {
            warm_at: now + server.cold,
            server,
            bucket: Bucket::new(now),
            own: Work::default(),
            others: BTreeMap::new(),
            failures: 0,
            failure_rate: 0.0,
            paused_until: Duration::ZERO,
            misdirected: false,
        }
    }

    /// Applies a newer description. A restart of the server resets its failures.
    pub fn update(&mut self, now: Duration, server: Server) {
        if server == self.server {
            return;
        }
        let restarted =
            server.started_ms != self.server.started_ms || server.address != self.server.address;
        if restarted {
            self.failures = 0;
            self.failure_rate = 0.0;
            self.paused_until = Duration::ZERO;
        }
        self.misdirected = false;
        if server.cold != self.server.cold || restarted {
            self.warm_at = now + server.cold;
        }
        self.server = server;
    }

    /// The current start of the server, which is registered as `name`.
    pub fn start(&self, name: &Name) -> Start {
        Start { server: name.clone(), started_ms: self.server.started_ms }
    }

    /// Name of its group; `None` if it isn't a rank.
    pub fn group_name(&self) -> Option<Name> {
        self.server.group.as_ref().map(|group| group.name.clone())
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.warm_at
    }

    /// Whether requests may be sent to it.
    pub fn is_usable(&self, now: Duration) -> bool {
        let open = self.server.group.as_ref().is_none_or(|group| group.open);
        !self.server.draining && !self.misdirected && open && now >= self.paused_until
    }

    /// Open work sent by all entries.
    pub fn work(&self, now: Duration) -> Work {
        let fresh = self.others.values().filter(|(_, at)| now < *at + LOAD_LIFETIME);
        fresh.fold(self.own, |sum, (work, _)| sum.plus(*work))
    }

    /// Open work reported by each other entry.
    pub fn reports(&self, now: Duration) -> impl Iterator<Item = (&Name, Work)> {
        let fresh = self.others.iter().filter(move |(_, (_, at))| now < *at + LOAD_LIFETIME);
        fresh.map(|(name, (work, _))| (name, *work))
    }

    /// Stores the open work reported by another entry.
    pub fn apply_load(&mut self, now: Duration, from: Name, work: Option<Work>) {
        match work {
            Some(work) => drop(self.others.insert(from, (work, now))),
            None => drop(self.others.remove(&from)),
        }
    }

    /// Moving average of failed requests, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Records a valid response.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
    }

    /// Records a failure. Consecutive failures pause the server, with backoff.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures += 1;
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        if self.failures >= FAILURES_BEFORE_PAUSE {
            let doublings = (self.failures - FAILURES_BEFORE_PAUSE).min(8);
            self.paused_until = now + (PAUSE_MIN * (1 << doublings)).min(PAUSE_MAX);
        }
    }

    /// Records that the server crashed. It is paused until it has had the time to
    /// restart, or until its description shows a new start.
    pub fn record_crash(&mut self, now: Duration) {
        self.record_failure(now);
        self.paused_until = now + PAUSE_MAX;
    }

    /// Records that another server answers at this server's address. It gets no
    /// requests until its description changes.
    pub fn record_misdirected(&mut self) {
        self.misdirected = true;
    }

    /// The member's state for a dump.
    pub fn summary(&self, now: Duration) -> Summary {
        Summary {
            pool: self.server.pool.clone(),
            zone: self.server.zone.clone(),
            address: self.server.address,
            draining: self.server.draining,
            cold_ms: self.warm_at.saturating_sub(now).as_millis(),
            open_here: self.own.open,
            open_all: self.work(now).open,
            failure_rate: self.failure_rate,
            paused_ms: self.paused_until.saturating_sub(now).as_millis(),
            misdirected: self.misdirected,
        }
    }
}
