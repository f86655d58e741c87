//! Pace of a pool's streams and the admission share that follows from it.

use std::time::Duration;

/// Weight of the latest gap in the mean gap (moving average).
const GAP_WEIGHT: f64 = 0.1;

/// Accepted gap between events where the route doesn't set one.
pub const DEFAULT_ACCEPTED_GAP: Duration = Duration::from_millis(120);

/// Mean gap above which a pool is slow, as a multiple of the accepted gap.
const SLOW_GAP_RATIO: f64 = 2.5;

/// Time since the last event after which a pool is stalled.
const STALL_AFTER: Duration = Duration::from_millis(1000);

/// Mean gap above which the admission share is reduced, as a multiple of the
/// accepted gap. Below the accepted gap, the share is increased again.
const LONG_GAP_RATIO: f64 = 5.0 / 3.0;

/// Time since the last event after which the pace is unknown.
const LIFETIME: Duration = Duration::from_secs(5);

/// Minimum time between two changes of the share: several passes.
const ADJUST_INTERVAL: Duration = Duration::from_millis(400);

/// Factor that reduces the share.
const DECREASE_FACTOR: f64 = 0.75;

/// Amount added to increase the share.
const INCREASE: f64 = 0.1;

/// Minimum share. With a queue of half the slots, it still fills half of the
/// slots, so that no request is refused while most slots are free.
const MIN_SHARE: f64 = 0.34;

/// The pace of a pool's streams, as observed by this entry.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Mean gap between two events of a stream.
    mean_gap: Duration,
    /// Time of the last event.
    last_event: Duration,
    /// Fraction of the normal limit of open requests.
    share: f64,
    adjusted_at: Duration,
    /// Accepted gap between two events.
    accepted_gap: Duration,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            mean_gap: Duration::ZERO,
            last_event: Duration::ZERO,
            share: 1.0,
            adjusted_at: Duration::ZERO,
            accepted_gap: DEFAULT_ACCEPTED_GAP,
        }
    }
}

impl Pace {
    /// Sets the accepted gap to that of a stream's route, or to the default.
    pub fn set_accepted_gap(&mut self, gap: Option<Duration>) {
        self.accepted_gap = gap.unwrap_or(DEFAULT_ACCEPTED_GAP);
    }

    /// Records an event that came `gap` after the previous one of its stream.
    /// Returns the new share if it changed.
    pub fn record(&mut self, now: Duration, gap: Duration) -> Option<f64> {
        self.mean_gap = self.mean_gap.mul_f64(1.0 - GAP_WEIGHT) + gap.mul_f64(GAP_WEIGHT);
        self.last_event = self.last_event.max(now);
        if now < self.adjusted_at + ADJUST_INTERVAL {
            return None;
        }
        self.adjusted_at = now;
        let before = self.share;
        if self.mean_gap > self.accepted_gap.mul_f64(LONG_GAP_RATIO) {
            self.share = (self.share * DECREASE_FACTOR).max(MIN_SHARE);
        } else if self.mean_gap < self.accepted_gap {
            self.share = (self.share + INCREASE).min(1.0);
        }
        (self.share != before).then_some(self.share)
    }

    /// Fraction of the normal limit of open requests that the pool accepts. All
    /// ranks of a group execute each pass together: with fewer requests per rank,
    /// passes get shorter and the admitted requests finish in time.
    pub fn share(&self, now: Duration) -> f64 {
        if self.is_known(now) { self.share } else { 1.0 }
    }

    /// Mean gap between two events of a stream.
    pub fn mean_gap(&self) -> Duration {
        self.mean_gap
    }

    /// Accepted gap between two events of a stream.
    pub fn accepted_gap(&self) -> Duration {
        self.accepted_gap
    }

    /// Whether the streams of the pool are slow.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut pace = balance::pace::Pace::default();
    /// let at = Duration::from_secs(5);
    /// for _ in 0..20 {
    ///     pace.record(at, Duration::from_millis(800));
    /// }
    /// assert!(pace.is_slow(at));
    /// assert!(!pace.is_slow(at + Duration::from_secs(60)), "the pace is unknown");
    /// ```
    pub fn is_slow(&self, now: Duration) -> bool {
        self.mean_gap > self.accepted_gap.mul_f64(SLOW_GAP_RATIO) && self.is_known(now)
    }

    /// Whether the last event is too long ago.
    pub fn is_stalled(&self, now: Duration) -> bool {
        now > self.last_event + STALL_AFTER
    }

    /// Whether there were events recently.
    pub fn is_known(&self, now: Duration) -> bool {
        now < self.last_event + LIFETIME
    }
}
