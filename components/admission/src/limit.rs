//! Adaptive concurrency limit of a backend server.
//!
//! The limit starts small and grows only after a window of first tokens at a
//! healthy latency while the limit was in use. Latency well above the base
//! latency lowers it; latency far above means that the backend server is cold,
//! whether it reported so or not. Without samples the limit shrinks, and then
//! recovers fast, like a congestion window below its slow-start threshold.
//!
//! A backend server that turned cold shows it only with its next first token, so
//! the number of requests that wait for their first token is limited as well.

use std::time::Duration;

/// The limit of a cold backend server.
pub const COLD_LIMIT: u32 = 2;
/// Base first-token latency assumed until one was measured.
pub const DEFAULT_BASE_LATENCY: Duration = Duration::from_millis(250);
/// A mean latency up to this multiple of the base latency is healthy.
pub const HEALTHY_FACTOR: f64 = 1.4;
/// A mean latency above this multiple of the base latency means overload.
pub const OVERLOAD_FACTOR: f64 = 2.0;
/// A single latency above this multiple of the base latency is a cold sample.
pub const COLD_FACTOR: f64 = 3.0;
/// Consecutive cold samples or failures after which a backend server is cold.
pub const COLD_SAMPLES: u32 = 3;
/// Smallest factor applied to the limit at an overload; always applied at a cold
/// sample.
pub const MIN_DECREASE_FACTOR: f64 = 0.5;
/// Relative growth of the limit after a healthy window.
pub const GROWTH_RATE: f64 = 0.1;
/// Minimum number of first tokens in a window.
pub const MIN_WINDOW_SAMPLES: u32 = 4;
/// Divisor of the limit that gives the number of first tokens in a window.
pub const WINDOW_DIVISOR: u32 = 2;
/// The limit halves each time this long passes without a sample.
pub const IDLE_HALVING_TIME: Duration = Duration::from_millis(2500);
/// Fraction of the difference by which the base latency follows a lower mean.
pub const BASE_SMOOTHING: f64 = 0.3;
/// Time in which the base latency doubles while the limit is below half of its
/// maximum; otherwise a few unusually fast windows could keep the limit low
/// forever.
pub const BASE_DOUBLING_TIME: Duration = Duration::from_secs(60);
/// Longest time between two samples for which the base latency rises.
pub const MAX_DRIFT_TIME: Duration = Duration::from_secs(1);
/// Divisor of the limit that gives how many requests may wait for their first
/// token.
pub const PENDING_DIVISOR: u32 = 16;

/// The concurrency limit of one backend server.
#[derive(Clone, Debug)]
pub struct Limit {
    max_limit: f64,
    limit: f64,
    /// The limit reached by healthy windows, up to which it doubles per window.
    slow_start_threshold: f64,
    base_latency: Option<f64>,
    cold: bool,
    cold_samples: u32,
    window: Window,
    updated_at: Duration,
}

/// First tokens of the current window.
#[derive(Clone, Debug, Default)]
struct Window {
    count: u32,
    sum: f64,
    running: u32,
}

impl Limit {
    /// Creates the limit of a cold backend server that may run `max_limit` requests
    /// when warm.
    ///
    /// ```
    /// use std::time::Duration;
    /// let limit = admission::limit::Limit::new(Duration::ZERO, 64);
    /// assert_eq!(limit.current(Duration::ZERO), admission::limit::COLD_LIMIT);
    /// assert!(limit.is_cold(Duration::ZERO));
    /// ```
    pub fn new(now: Duration, max_limit: u32) -> Limit {
        let max_limit = f64::from(max_limit.max(1));
        let limit = f64::from(COLD_LIMIT).min(max_limit);
        Limit {
            max_limit,
            limit,
            slow_start_threshold: limit,
            base_latency: None,
            cold: true,
            cold_samples: 0,
            window: Window::default(),
            updated_at: now,
        }
    }

    /// Number of requests that may run at once now.
    pub fn current(&self, now: Duration) -> u32 {
        self.decayed_limit(now) as u32
    }

    /// Number of requests that may wait for their first token at once now.
    pub fn pending_limit(&self, now: Duration) -> u32 {
        (self.current(now) / PENDING_DIVISOR).max(COLD_LIMIT)
    }

    /// Whether one more request may start while `running` requests run, `pending`
    /// of them without a first token.
    pub fn admits(&self, now: Duration, running: u32, pending: u32) -> bool {
        running < self.current(now) && pending < self.pending_limit(now)
    }

    /// Whether the backend server is considered cold.
    pub fn is_cold(&self, _now: Duration) -> bool {
        self.cold
    }

    /// Records the outcome of a request; call it once, when the first token was
    /// received or the request failed before. `running` is the number of requests
    /// that ran at that time, including this one. Calling it only when an answer
    /// is complete is as safe, but the limit adapts more slowly.
    pub fn record_outcome(&mut self, now: Duration, running: u32, first_token: Duration, ok: bool) {
        self.limit = self.decayed_limit(now);
        self.raise_base_latency(now);
        self.updated_at = now;
        let latency = first_token.as_secs_f64();
        if !ok || latency > self.current_base_latency() * COLD_FACTOR {
            return self.record_cold_sample(now);
        }
        self.cold_samples = 0;
        self.window.add(latency, running);
        if self.window.count >= (self.limit as u32 / WINDOW_DIVISOR).max(MIN_WINDOW_SAMPLES) {
            self.end_window(now);
        }
    }

    /// Returns to the state of a cold backend server, after its restart.
    pub fn reset(&mut self, now: Duration) {
        self.limit = self.min_limit();
        self.slow_start_threshold = self.limit;
        self.base_latency = None;
        self.cold = true;
        self.cold_samples = 0;
        self.window = Window::default();
        self.updated_at = now;
    }

    fn min_limit(&self) -> f64 {
        f64::from(COLD_LIMIT).min(self.max_limit)
    }

    fn current_base_latency(&self) -> f64 {
        self.base_latency.unwrap_or(DEFAULT_BASE_LATENCY.as_secs_f64())
    }

    /// Ends a window: updates the base latency, then adjusts the limit.
    fn end_window(&mut self, now: Duration) {
        let window = std::mem::take(&mut self.window);
        let mean = window.sum / f64::from(window.count);
        let base = self.base_latency.unwrap_or(mean);
        self.base_latency = Some(base - (base - mean).max(0.0) * BASE_SMOOTHING);
        let ratio = mean / self.current_base_latency();
        if ratio > HEALTHY_FACTOR && self.limit <= self.min_limit() {
            // Slow at the minimum limit: the backend server turned cold.
            self.reset(now);
        } else if ratio > OVERLOAD_FACTOR {
            self.decrease((HEALTHY_FACTOR / ratio).max(MIN_DECREASE_FACTOR));
        } else if ratio <= HEALTHY_FACTOR && f64::from(window.running) >= self.limit.floor() * 0.5 {
            self.increase((HEALTHY_FACTOR - ratio) / (HEALTHY_FACTOR - 1.0));
        }
    }

    /// Increases the limit; `headroom` is 1 at the base latency and 0 at the
    /// highest healthy one.
    fn increase(&mut self, headroom: f64) {
        let grown = if self.limit < self.slow_start_threshold {
            (self.limit * 2.0).min(self.slow_start_threshold)
        } else {
            self.limit + (self.limit * GROWTH_RATE).max(1.0) * headroom
        };
        self.limit = grown.min(self.max_limit);
        self.slow_start_threshold = self.slow_start_threshold.max(self.limit);
        self.cold = self.cold && self.limit < self.max_limit * 0.5;
    }

    fn decrease(&mut self, share: f64) {
        self.limit = (self.limit * share).max(self.min_limit());
        self.slow_start_threshold = self.limit;
        self.window = Window::default();
    }

    fn record_cold_sample(&mut self, now: Duration) {
        self.cold_samples += 1;
        if self.cold_samples >= COLD_SAMPLES {
            return self.reset(now);
        }
        self.decrease(MIN_DECREASE_FACTOR);
    }

    fn raise_base_latency(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).min(MAX_DRIFT_TIME).as_secs_f64();
        if self.limit >= self.max_limit * 0.5 {
            return;
        }
        self.base_latency = self
            .base_latency
            .map(|base| base * 2f64.powf(elapsed / BASE_DOUBLING_TIME.as_secs_f64()));
    }

    fn decayed_limit(&self, now: Duration) -> f64 {
        let halvings = (now.saturating_sub(self.updated_at).as_secs_f64()
            / IDLE_HALVING_TIME.as_secs_f64())
        .floor();
        let decayed = self.limit * 0.5f64.powf(halvings);
        decayed.max(self.min_limit())
    }
}

impl Window {
    fn add(&mut self, latency: f64, running: u32) {
        self.count += 1;
        self.sum += latency;
        self.running = self.running.max(running);
    }
}
