//! How many requests a backend server may run at once.
//!
//! The limit starts small and grows only on evidence: a window of first tokens
//! at a healthy latency while the limit was in use. Latency well above the
//! healthy one lowers it; latency far above says that the backend server is
//! cold, whether it said so or not. Without evidence the limit shrinks, and
//! comes back fast, like a congestion window below its slow-start threshold.
//!
//! Since a backend server that turned cold gives no evidence before its next
//! first token, the requests that wait for theirs are limited besides.

use std::time::Duration;

/// The limit of a cold backend server.
pub const COLD_LIMIT: u32 = 2;
/// First-token latency taken as healthy while nothing better is known.
pub const HEALTHY: Duration = Duration::from_millis(250);
/// Multiple of the base latency up to which a mean latency is healthy.
pub const HEALTHY_FACTOR: f64 = 1.4;
/// Multiple of the base latency from which on a mean latency says overload.
pub const OVERLOAD_FACTOR: f64 = 2.0;
/// Multiple of the base latency from which on a single latency says cold.
pub const COLD_FACTOR: f64 = 3.0;
/// Successive cold latencies or failures that make a backend server cold.
pub const COLD_EVIDENCE: u32 = 3;
/// Least share of the limit kept after an overload.
pub const DECREASE: f64 = 0.5;
/// Growth of the limit for one healthy window.
pub const GROWTH: f64 = 0.1;
/// Fewest first tokens of a window.
pub const WINDOW: u32 = 4;
/// First tokens of a window, as a divisor of the limit.
pub const WINDOW_SHARE: u32 = 2;
/// Time without evidence after which the limit halves, again and again.
pub const IDLE: Duration = Duration::from_millis(2500);
/// Part of the way that the base latency goes down to a lower mean.
pub const LEARNING: f64 = 0.3;
/// Time in which the base latency doubles while the limit is below half of the
/// most, lest lucky windows hold it there for ever.
pub const DRIFT: Duration = Duration::from_secs(60);
/// Longest gap in the evidence through which the base latency rises.
pub const DRIFT_STEP: Duration = Duration::from_secs(1);
/// Requests that may wait for their first token, as a divisor of the limit.
pub const PENDING_SHARE: u32 = 16;

/// The limit of one backend server.
#[derive(Clone, Debug)]
pub struct Limit {
    most: f64,
    limit: f64,
    /// Limit that was held on evidence, up to which it may come back fast.
    proven: f64,
    base: Option<f64>,
    cold: bool,
    bad: u32,
    window: Window,
    at: Duration,
}

/// First tokens since the limit changed.
#[derive(Clone, Debug, Default)]
struct Window {
    count: u32,
    sum: f64,
    running: u32,
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
        Limit {
            most,
            limit,
            proven: limit,
            base: None,
            cold: true,
            bad: 0,
            window: Window::default(),
            at: now,
        }
    }

    /// The most requests that may run at once now.
    pub fn current(&self, now: Duration) -> u32 {
        self.decayed(now) as u32
    }

    /// The most requests that may wait for their first token at once now.
    pub fn pending(&self, now: Duration) -> u32 {
        (self.current(now) / PENDING_SHARE).max(COLD_LIMIT)
    }

    /// Whether one more request may start while `running` run, of which
    /// `pending` have no first token yet.
    pub fn admits(&self, now: Duration, running: u32, pending: u32) -> bool {
        running < self.current(now) && pending < self.pending(now)
    }

    /// Whether the backend server counts as cold.
    pub fn is_cold(&self, _now: Duration) -> bool {
        self.cold
    }

    /// Takes in the outcome of a request, once: when its first token came, or
    /// when it failed before. `running` is how many ran with it. Told only when
    /// answers are over, the limit is as safe but slower.
    pub fn complete(&mut self, now: Duration, running: u32, first_token: Duration, ok: bool) {
        self.limit = self.decayed(now);
        self.drift(now);
        self.at = now;
        let latency = first_token.as_secs_f64();
        if !ok || latency > self.base() * COLD_FACTOR {
            return self.worsen(now);
        }
        self.bad = 0;
        self.window.add(latency, running);
        if self.window.count >= (self.limit as u32 / WINDOW_SHARE).max(WINDOW) {
            self.judge(now);
        }
    }

    /// Starts cold again: the engine was restarted.
    pub fn restart(&mut self, now: Duration) {
        self.limit = self.least();
        self.proven = self.limit;
        self.base = None;
        self.cold = true;
        self.bad = 0;
        self.window = Window::default();
        self.at = now;
    }

    fn least(&self) -> f64 {
        f64::from(COLD_LIMIT).min(self.most)
    }

    fn base(&self) -> f64 {
        self.base.unwrap_or(HEALTHY.as_secs_f64())
    }

    /// Ends a window: learns from it, and moves the limit.
    fn judge(&mut self, now: Duration) {
        let window = std::mem::take(&mut self.window);
        let mean = window.sum / f64::from(window.count);
        let base = self.base.unwrap_or(mean);
        self.base = Some(base - (base - mean).max(0.0) * LEARNING);
        let ratio = mean / self.base();
        if ratio > HEALTHY_FACTOR && self.limit <= self.least() {
            // Slow under the lightest load: it turned cold.
            self.restart(now);
        } else if ratio > OVERLOAD_FACTOR {
            self.decrease((HEALTHY_FACTOR / ratio).max(DECREASE));
        } else if ratio <= HEALTHY_FACTOR && f64::from(window.running) >= self.limit.floor() * 0.5 {
            self.grow((HEALTHY_FACTOR - ratio) / (HEALTHY_FACTOR - 1.0));
        }
    }

    /// Grows the limit, the less the nearer the latency is to unhealthy.
    fn grow(&mut self, room: f64) {
        let grown = if self.limit < self.proven {
            (self.limit * 2.0).min(self.proven)
        } else {
            self.limit + (self.limit * GROWTH).max(1.0) * room
        };
        self.limit = grown.min(self.most);
        self.proven = self.proven.max(self.limit);
        self.cold = self.cold && self.limit < self.most * 0.5;
    }

    fn decrease(&mut self, share: f64) {
        self.limit = (self.limit * share).max(self.least());
        self.proven = self.limit;
        self.window = Window::default();
    }

    fn worsen(&mut self, now: Duration) {
        self.bad += 1;
        if self.bad >= COLD_EVIDENCE {
            return self.restart(now);
        }
        self.decrease(DECREASE);
    }

    fn drift(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).min(DRIFT_STEP).as_secs_f64();
        if self.limit >= self.most * 0.5 {
            return;
        }
        self.base = self.base.map(|base| base * 2f64.powf(passed / DRIFT.as_secs_f64()));
    }

    fn decayed(&self, now: Duration) -> f64 {
        let halvings = (now.saturating_sub(self.at).as_secs_f64() / IDLE.as_secs_f64()).floor();
        let decayed = self.limit * 0.5f64.powf(halvings);
        decayed.max(self.least())
    }
}

impl Window {
    fn add(&mut self, latency: f64, running: u32) {
        self.count += 1;
        self.sum += latency;
        self.running = self.running.max(running);
    }
}
