//! What a connection waits for, and for how long.

use std::time::Duration;

use tokio::time::Instant;

/// Limits on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head: usize,
    /// Time from the first byte of a request head to its last.
    pub head_time: Duration,
    /// Time without a request after which a connection is closed.
    pub idle_time: Duration,
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The first byte of a request, since this time.
    Idle(Instant),
    /// The rest of a request head, since this time.
    Head(Instant),
    /// The response to a request.
    Request,
}

impl Phase {
    /// The phase after bytes have arrived.
    #[must_use]
    pub fn receive(self, now: Instant) -> Phase {
        match self {
            Phase::Idle(_) => Phase::Head(now),
            other => other,
        }
    }

    /// Time at which the connection is closed unless the phase changes. Depends on the
    /// limits in force now, not on those at the start of the phase.
    ///
    /// ```
    /// use std::time::Duration;
    /// use listener::{Limits, Phase};
    /// use tokio::time::Instant;
    /// let (head_time, idle_time) = (Duration::from_secs(3), Duration::from_secs(15));
    /// let limits = Limits { head: 16_384, head_time, idle_time };
    /// let now = Instant::now();
    /// assert_eq!(Phase::Idle(now).expires(&limits), Some(now + idle_time));
    /// assert_eq!(Phase::Idle(now).receive(now).expires(&limits), Some(now + head_time));
    /// assert_eq!(Phase::Request.expires(&limits), None);
    /// ```
    pub fn expires(self, limits: &Limits) -> Option<Instant> {
        match self {
            Phase::Idle(since) => Some(since + limits.idle_time),
            Phase::Head(since) => Some(since + limits.head_time),
            Phase::Request => None,
        }
    }
}
