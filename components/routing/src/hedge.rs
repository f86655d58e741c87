//! Hedging: a second, concurrent attempt of a slow idempotent request.
//!
//! A request is hedged after a high quantile of the latency, so that few are
//! sent twice: Dean and Barroso, "The tail at scale" (2013).

use std::collections::VecDeque;
use std::time::Duration;

/// Most latencies kept.
pub const WINDOW: usize = 256;
/// Fewest latencies from which the quantile is estimated.
pub const MIN_LATENCIES: usize = 20;
/// Age at which a latency expires.
pub const EXPIRY: Duration = Duration::from_secs(60);
/// Latency quantile after which a request is hedged.
pub const QUANTILE: f64 = 0.95;
/// Load, as a share of the capacity, at which hedging stops.
pub const LOAD_LIMIT: f64 = 0.6;
/// Hedges allowed per observed first token.
pub const HEDGES_PER_REQUEST: f64 = 0.05;
/// Most hedges that can accumulate.
pub const CREDIT_LIMIT: f64 = 5.0;

/// Decides on hedges from recent first-token latencies.
#[derive(Clone, Debug, Default)]
pub struct Hedge {
    latencies: VecDeque<(Duration, Duration)>,
    credit: f64,
}

impl Hedge {
    /// Records the first-token latency of a request and earns its share of a hedge.
    pub fn observe(&mut self, now: Duration, latency: Duration) {
        self.latencies.push_back((now, latency));
        if self.latencies.len() > WINDOW {
            self.latencies.pop_front();
        }
        self.credit = (self.credit + HEDGES_PER_REQUEST).min(CREDIT_LIMIT);
    }

    /// Time to wait for a first token before hedging; `None` with fewer than
    /// [`MIN_LATENCIES`] recent latencies.
    ///
    /// ```
    /// use std::time::Duration;
    /// let hedge = routing::hedge::Hedge::default();
    /// assert_eq!(hedge.delay(Duration::ZERO), None);
    /// ```
    pub fn delay(&self, now: Duration) -> Option<Duration> {
        let live = self.latencies.iter().filter(|(at, _)| now.saturating_sub(*at) < EXPIRY);
        let mut latencies: Vec<Duration> = live.map(|(_, latency)| *latency).collect();
        if latencies.len() < MIN_LATENCIES {
            return None;
        }
        let rank = ((latencies.len() - 1) as f64 * QUANTILE).ceil() as usize;
        let (_, latency, _) = latencies.select_nth_unstable(rank);
        Some(*latency)
    }

    /// Whether a hedge may start at this load (a share of the capacity); if so,
    /// it is deducted from the accumulated hedges.
    pub fn allow(&mut self, _now: Duration, load: f64) -> bool {
        if load >= LOAD_LIMIT || self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}
