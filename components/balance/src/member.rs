//! What an entry knows of one backend server beyond its own description.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use tables::Name;

use crate::cold::Bucket;
use crate::content::Server;
use crate::gossip::Work;
use crate::notice::Start;

/// Failures in a row after which a server is left alone for a while.
const FAILURES_BEFORE_PAUSE: u32 = 2;

/// First pause of a failing server.
const PAUSE_MIN: Duration = Duration::from_millis(400);

/// Longest pause of a failing server.
const PAUSE_MAX: Duration = Duration::from_millis(3200);

/// Share of the newest outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// Age after which what another entry said of its load no longer counts.
const LOAD_LIFETIME: Duration = Duration::from_secs(2);

/// A backend server.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its own description.
    pub server: Server,
    /// When it is warm.
    pub warm_at: Duration,
    /// Requests that it may get while cold.
    pub bucket: Bucket,
    /// Open work of this entry.
    pub own: Work,
    others: BTreeMap<Name, (Work, Duration)>,
    failures: u32,
    failure_rate: f64,
    paused_until: Duration,
    misdirected: bool,
}

/// A member as a dump shows it.
#[derive(Debug, Serialize)]
pub struct Shown {
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
    /// A server that was just entered.
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

    /// Takes in a newer description. A later start forgets what was learned.
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

    /// Its present start.
    pub fn start(&self, name: &Name) -> Start {
        Start { server: name.clone(), started_ms: self.server.started_ms }
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.warm_at
    }

    /// Whether it may be tried.
    pub fn is_usable(&self, now: Duration) -> bool {
        let open = self.server.group.as_ref().is_none_or(|group| group.open);
        !self.server.draining && !self.misdirected && open && now >= self.paused_until
    }

    /// Open work of all entries.
    pub fn work(&self, now: Duration) -> Work {
        let fresh = self.others.values().filter(|(_, at)| now < *at + LOAD_LIFETIME);
        fresh.fold(self.own, |sum, (work, _)| sum.plus(*work))
    }

    /// Notes the open work of another entry.
    pub fn hear(&mut self, now: Duration, from: Name, work: Option<Work>) {
        match work {
            Some(work) => drop(self.others.insert(from, (work, now))),
            None => drop(self.others.remove(&from)),
        }
    }

    /// Share of recent requests that failed, newest first in weight.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Notes a sound answer.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
    }

    /// Notes a failure. Several in a row pause the server, longer each time.
    pub fn fail(&mut self, now: Duration) {
        self.failures += 1;
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        if self.failures >= FAILURES_BEFORE_PAUSE {
            let doublings = (self.failures - FAILURES_BEFORE_PAUSE).min(8);
            self.paused_until = now + (PAUSE_MIN * (1 << doublings)).min(PAUSE_MAX);
        }
    }

    /// Notes that another server answers at the address.
    pub fn misdirect(&mut self) {
        self.misdirected = true;
    }

    /// The member for a dump.
    pub fn show(&self, now: Duration) -> Shown {
        Shown {
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
