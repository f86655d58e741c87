//! Rate limits.

use std::time::Duration;

/// A token bucket that holds one second's worth.
///
/// ```
/// use std::time::Duration;
///
/// let mut rate = lab::platform::Rate::new(2);
/// assert!(rate.take(Duration::ZERO).is_ok());
/// assert!(rate.take(Duration::ZERO).is_ok());
/// assert!(rate.take(Duration::ZERO).is_err());
/// assert!(rate.take(Duration::from_millis(500)).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct Rate {
    per_second: f64,
    tokens: f64,
    filled: Duration,
}

impl Rate {
    /// A full bucket for `per_second` calls a second.
    pub fn new(per_second: u32) -> Rate {
        let per_second = f64::from(per_second.max(1));
        Rate { per_second, tokens: per_second, filled: Duration::ZERO }
    }

    /// Takes a token, or says when to come back.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + passed * self.per_second).min(self.per_second);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.per_second))
    }
}
