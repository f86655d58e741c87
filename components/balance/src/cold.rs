//! Rate limit for requests to a cold backend server, shared by all entries.

use std::time::Duration;

/// Share of the tolerated rate that is used. The rest covers the time in which
/// entries have not yet discovered each other.
const USED_SHARE: f64 = 0.9;

/// Maximum number of requests sent at once.
const BURST: f64 = 2.0;

/// A token bucket for one cold backend server.
#[derive(Clone, Debug)]
pub struct Bucket {
    tokens: f64,
    at: Duration,
}

impl Bucket {
    /// Creates a bucket with a token for one request.
    pub fn new(now: Duration) -> Bucket {
        Bucket { tokens: 1.0, at: now }
    }

    /// Refills this entry's part of `rate` (requests per second over all
    /// `entries`) and returns whether a request may be sent.
    pub fn is_open(&mut self, now: Duration, rate: f64, entries: usize) -> bool {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let share = rate * USED_SHARE / entries.max(1) as f64;
        self.tokens = (self.tokens + passed * share).min(BURST);
        self.tokens >= 1.0
    }

    /// Takes the token for one request.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
