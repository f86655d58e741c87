//! How fast the streams of a pool go on.

use std::time::Duration;

/// Share of the newest gap in the mean.
const WEIGHT: f64 = 0.1;

/// Pause between events that callers accept, where no route states one.
const ACCEPTED: Duration = Duration::from_millis(120);

/// Mean gap from which on a pool is slow, in accepted pauses.
const SLOW_GAP: f64 = 2.5;

/// Age of the newest event from which on a pool stands still.
const STILL_AFTER: Duration = Duration::from_millis(1000);

/// Mean gap beyond which fewer requests are let in, in accepted pauses. With
/// gaps of the accepted pause and less, more are let in again.
const LONG_GAP: f64 = 5.0 / 3.0;

/// Age of the newest event from which on the pace is unknown.
const LIFETIME: Duration = Duration::from_secs(5);

/// Time between two changes of the share, some passes.
const ADJUST: Duration = Duration::from_millis(400);

/// Factor by which the share falls, and what it rises by.
const FALL: f64 = 0.75;
const RISE: f64 = 0.1;

/// Least share. With a queue of half the slots it fills half of the slots, so
/// that nobody is refused while most of them are free.
const SHARE_MIN: f64 = 0.34;

/// The pace of a pool's streams, as this entry sees them.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Mean gap between two events of a stream.
    gap: Duration,
    /// When the last event came.
    heard: Duration,
    /// Share of the usual limit of open requests.
    share: f64,
    adjusted: Duration,
    /// Pause between events that callers accept.
    accepted: Duration,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            gap: Duration::ZERO,
            heard: Duration::ZERO,
            share: 1.0,
            adjusted: Duration::ZERO,
            accepted: ACCEPTED,
        }
    }
}

impl Pace {
    /// Notes the pause that the route of a stream accepts, if it states one.
    pub fn accept(&mut self, pause: Option<Duration>) {
        self.accepted = pause.unwrap_or(ACCEPTED);
    }

    /// Notes an event that came `gap` after the one before in its stream.
    /// Returns the share of open requests if it changed.
    pub fn note(&mut self, now: Duration, gap: Duration) -> Option<f64> {
        self.gap = self.gap.mul_f64(1.0 - WEIGHT) + gap.mul_f64(WEIGHT);
        self.heard = self.heard.max(now);
        if now < self.adjusted + ADJUST {
            return None;
        }
        self.adjusted = now;
        let before = self.share;
        if self.gap > self.accepted.mul_f64(LONG_GAP) {
            self.share = (self.share * FALL).max(SHARE_MIN);
        } else if self.gap < self.accepted {
            self.share = (self.share + RISE).min(1.0);
        }
        (self.share != before).then_some(self.share)
    }

    /// Share of the usual limit of open requests that the pool takes. All
    /// ranks of a group make each pass together: with fewer requests on each,
    /// passes get shorter and those that are let in end in time.
    pub fn share(&self, now: Duration) -> f64 {
        if self.is_known(now) { self.share } else { 1.0 }
    }

    /// Mean gap between two events of a stream.
    pub fn gap(&self) -> Duration {
        self.gap
    }

    /// Whether the streams of the pool are slow.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut pace = balance::pace::Pace::default();
    /// let at = Duration::from_secs(5);
    /// for _ in 0..20 {
    ///     pace.note(at, Duration::from_millis(800));
    /// }
    /// assert!(pace.is_slow(at));
    /// assert!(!pace.is_slow(at + Duration::from_secs(60)), "nobody knows");
    /// ```
    pub fn is_slow(&self, now: Duration) -> bool {
        self.gap > self.accepted.mul_f64(SLOW_GAP) && self.is_known(now)
    }

    /// Whether no event came for long.
    pub fn is_still(&self, now: Duration) -> bool {
        now > self.heard + STILL_AFTER
    }

    fn is_known(&self, now: Duration) -> bool {
        now < self.heard + LIFETIME
    }
}
