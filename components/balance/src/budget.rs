//! Retry budget: limits retries to a share of first attempts, so that retries
//! don't amplify an overload.

use std::time::Duration;

/// Maximum number of unused retries that accumulate.
pub const BURST: f64 = 20.0;

/// Token bucket of retries.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    floor: f64,
    saved: f64,
    limit: f64,
    at: Duration,
}

impl Budget {
    /// Creates a budget of `ratio` retries per first attempt plus `floor`
    /// retries per second.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut budget = balance::budget::Budget::new(0.5, 0.0);
    /// budget.earn(Duration::ZERO);
    /// assert!(!budget.spend(Duration::ZERO));
    /// budget.earn(Duration::ZERO);
    /// assert!(budget.spend(Duration::ZERO));
    /// ```
    pub fn new(ratio: f64, floor: f64) -> Budget {
        Budget { ratio, floor, saved: 0.0, limit: BURST, at: Duration::ZERO }
    }

    /// Credits the budget for a first attempt.
    pub fn earn(&mut self, now: Duration) {
        self.refill(now);
        self.saved = (self.saved + self.ratio).min(self.limit);
    }

    /// Takes one retry out of the budget. Returns `false` if none is left.
    pub fn spend(&mut self, now: Duration) -> bool {
        self.refill(now);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Sets the retries per second granted without first attempts (`floor`) and
    /// the maximum number of unused retries (`limit`).
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut budget = balance::budget::Budget::new(0.0, 0.0);
    /// budget.set_share(Duration::ZERO, 1.0, 5.0);
    /// assert!(budget.spend(Duration::from_secs(1)));
    /// ```
    pub fn set_share(&mut self, now: Duration, floor: f64, limit: f64) {
        self.refill(now);
        self.floor = floor;
        self.limit = limit;
    }

    /// Sets the number of retries available at the start.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut budget = balance::budget::Budget::new(0.0, 0.0).with_saved(1.0);
    /// assert!(budget.spend(Duration::ZERO));
    /// ```
    pub fn with_saved(mut self, saved: f64) -> Budget {
        self.saved = saved.min(self.limit);
        self
    }

    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.saved = (self.saved + passed * self.floor).min(self.limit);
    }
}
