//! How many requests a backend server may run at once.
//!
//! The limit starts small and grows only on evidence: first tokens at a healthy
//! latency while the limit was in use. Without evidence it shrinks, since a
//! backend server may turn cold without notice.

use std::time::Duration;

/// The limit of a cold backend server.
pub const COLD_LIMIT: u32 = 2;
/// First-token latency taken as healthy while nothing better is known.
pub const HEALTHY: Duration = Duration::from_millis(250);
/// Multiple of the best latency up to which a latency is healthy.
pub const HEALTHY_FACTOR: f64 = 1.5;
/// Multiple of the best latency from which on a latency says overload.
pub const OVERLOAD_FACTOR: f64 = 2.0;
/// Multiple of the best latency from which on a latency says cold.
pub const COLD_FACTOR: f64 = 3.0;
/// Successive cold latencies or failures that make a backend server cold.
pub const COLD_EVIDENCE: u32 = 3;
/// Share of the limit kept after an overload.
pub const DECREASE: f64 = 0.8;
/// Growth of the limit for one round of healthy first tokens.
pub const GROWTH: f64 = 0.25;
/// Time without evidence in which the limit halves.
pub const IDLE: Duration = Duration::from_secs(10);
/// Share by which the best latency rises with each observation above it.
pub const DRIFT: f64 = 0.0005;

/// The limit of one backend server.
#[derive(Clone, Debug)]
pub struct Limit {
    most: f64,
    limit: f64,
    best: Option<f64>,
    cold: bool,
    bad: u32,
    round: u32,
    at: Duration,
    changed: Duration,
}

impl Limit {
    /// A cold backend server that runs at most `most` requests when warm.
    ///
    /// ```
    /// use std::time::Duration;
    /// let limit = admission::limit::Limit::new(Duration::ZERO, 64);
    /// assert_eq!(limit.current(Duration::ZERO), admission::limit::COLD_LIMIT);
    /// assert!(limit.is_cold(Duration::ZERO));
    /// ```
    pub fn new(now: Duration, most: u32) -> Limit {
        let most = f64::from(most.max(1));
        let limit = f64::from(COLD_LIMIT).min(most);
        Limit { most, limit, best: None, cold: true, bad: 0, round: 0, at: now, changed: now }
    }

    /// The most requests that may run at once now.
    pub fn current(&self, now: Duration) -> u32 {
        self.decayed(now) as u32
    }

    /// Whether the backend server counts as cold.
    pub fn is_cold(&self, _now: Duration) -> bool {
        self.cold
    }

    /// Takes in the outcome of a request, once, when its first token came or it
    /// failed before: how many ran with it, its first-token latency, and
    /// whether it went well.
    pub fn complete(&mut self, now: Duration, running: u32, first_token: Duration, ok: bool) {
        self.limit = self.decayed(now);
        self.at = now;
        let latency = first_token.as_secs_f64();
        if !ok || latency > self.base() * COLD_FACTOR {
            return self.worsen(now);
        }
        self.bad = 0;
        self.learn(latency);
        if latency > self.base() * OVERLOAD_FACTOR {
            return self.decrease(now);
        }
        if latency <= self.base() * HEALTHY_FACTOR {
            self.grow(now, running);
        }
    }

    /// Starts cold again: the engine was restarted.
    pub fn restart(&mut self, now: Duration) {
        self.limit = f64::from(COLD_LIMIT).min(self.most);
        self.cold = true;
        self.bad = 0;
        self.round = 0;
        self.at = now;
        self.changed = now;
    }

    fn base(&self) -> f64 {
        self.best.unwrap_or(HEALTHY.as_secs_f64())
    }

    fn learn(&mut self, latency: f64) {
        let best = match self.best {
            Some(best) if latency >= best => best + (latency - best) * DRIFT,
            _ => latency,
        };
        self.best = Some(best);
    }

    fn worsen(&mut self, now: Duration) {
        self.bad += 1;
        self.round = 0;
        if self.bad >= COLD_EVIDENCE {
            return self.restart(now);
        }
        self.decrease(now);
    }

    fn decrease(&mut self, now: Duration) {
        self.limit = (self.limit * DECREASE).max(f64::from(COLD_LIMIT).min(self.most));
        self.round = 0;
        self.changed = now;
    }

    fn grow(&mut self, now: Duration, running: u32) {
        if f64::from(running) < self.limit.floor() * 0.5 {
            return;
        }
        self.round += 1;
        if f64::from(self.round) < self.limit {
            return;
        }
        self.round = 0;
        self.limit = (self.limit + (self.limit * GROWTH).max(1.0)).min(self.most);
        self.cold = self.cold && self.limit < self.most * 0.5;
        self.changed = now;
    }

    fn decayed(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.at).saturating_sub(IDLE).as_secs_f64();
        let decayed = self.limit * 0.5f64.powf(idle / IDLE.as_secs_f64());
        decayed.max(f64::from(COLD_LIMIT).min(self.limit))
    }
}
