//! When a second attempt of an idempotent request starts beside a slow first.
//!
//! Dean and Barroso, "The tail at scale" (2013): hedge after a high quantile of
//! the latency, so that few requests are sent twice.

use std::collections::VecDeque;
use std::time::Duration;

/// Most latencies that are kept.
pub const WINDOW: usize = 256;
/// Fewest latencies from which a quantile is taken.
pub const EVIDENCE: usize = 20;
/// Age beyond which a latency no longer counts.
pub const EXPIRY: Duration = Duration::from_secs(60);
/// The quantile of the latency after which a request is hedged.
pub const QUANTILE: f64 = 0.95;
/// Load, as a share of the capacity, from which on nothing is hedged.
pub const SPARE_LOAD: f64 = 0.6;
/// Hedges allowed per observed first token.
pub const RATIO: f64 = 0.05;
/// Most hedges that can be saved up.
pub const BURST: f64 = 5.0;

/// Decides on hedges from the first-token latencies of the recent past.
#[derive(Clone, Debug, Default)]
pub struct Hedge {
    latencies: VecDeque<(Duration, Duration)>,
    saved: f64,
}

impl Hedge {
    /// Takes in the first-token latency of a request.
    pub fn observe(&mut self, now: Duration, latency: Duration) {
        self.latencies.push_back((now, latency));
        if self.latencies.len() > WINDOW {
            self.latencies.pop_front();
        }
        self.saved = (self.saved + RATIO).min(BURST);
    }

    /// How long to wait for a first token before hedging; `None` while too
    /// little is known.
    ///
    /// ```
    /// use std::time::Duration;
    /// let hedge = routing::hedge::Hedge::default();
    /// assert_eq!(hedge.after(Duration::ZERO), None);
    /// ```
    pub fn after(&self, now: Duration) -> Option<Duration> {
        let live = self.latencies.iter().filter(|(at, _)| now.saturating_sub(*at) < EXPIRY);
        let mut latencies: Vec<Duration> = live.map(|(_, latency)| *latency).collect();
        if latencies.len() < EVIDENCE {
            return None;
        }
        let rank = ((latencies.len() - 1) as f64 * QUANTILE).ceil() as usize;
        let (_, latency, _) = latencies.select_nth_unstable(rank);
        Some(*latency)
    }

    /// Whether a hedge may start now, at this load (a share of the capacity);
    /// a hedge that may is taken out of the bounded share of hedges.
    pub fn allow(&mut self, _now: Duration, load: f64) -> bool {
        if load >= SPARE_LOAD || self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
