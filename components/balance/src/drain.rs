//! Planned stop of an entry: until when it takes requests, and when it ends those that
//! are still open.

use std::time::Duration;

/// Time after the stop signal during which new requests are taken. The platform still
/// sends connections until two readiness probes, 1 s apart, have failed.
const ACCEPT_TIME: Duration = Duration::from_millis(2500);

/// Time before the forced stop at which requests without a response get their final
/// one. It has to reach the callers before the process is killed.
const END_MARGIN: Duration = Duration::from_millis(300);

/// Largest share of the grace period for either of these times, if it is short.
const SHARE_MAX: f64 = 0.5;

/// The schedule of a planned stop.
///
/// ```
/// use std::time::Duration;
/// let (now, grace) = (Duration::from_secs(60), Duration::from_secs(8));
/// let drain = balance::drain::Drain::new(now, grace);
/// assert!(drain.accepts(now + Duration::from_secs(2)));
/// assert!(!drain.accepts(now + Duration::from_secs(3)));
/// assert!(!drain.is_over(now + Duration::from_secs(7)));
/// assert!(drain.is_over(now + grace));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    accepts_until: Duration,
    ends_at: Duration,
}

impl Drain {
    /// The schedule after a stop signal at `now`; the process is killed after `grace`.
    pub fn new(now: Duration, grace: Duration) -> Drain {
        let share = grace.mul_f64(SHARE_MAX);
        Drain {
            accepts_until: now + ACCEPT_TIME.min(share),
            ends_at: now + grace - END_MARGIN.min(share),
        }
    }

    /// Time until which new requests are taken. One that comes later is refused, so that
    /// its caller can turn to another entry while there is time.
    pub fn accepts_until(&self) -> Duration {
        self.accepts_until
    }

    /// Whether a request that is complete at `now` is taken.
    pub fn accepts(&self, now: Duration) -> bool {
        now < self.accepts_until
    }

    /// Time at which open requests get their final response.
    pub fn ends_at(&self) -> Duration {
        self.ends_at
    }

    /// Whether open requests have to end.
    pub fn is_over(&self, now: Duration) -> bool {
        now >= self.ends_at
    }
}
