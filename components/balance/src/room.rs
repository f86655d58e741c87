//! Number of requests that the engines of a group can hold while their passes stay
//! within the gap that callers accept.
//!
//! All ranks of a group make each pass together, so each admitted request lengthens
//! the passes of all. A stream is late as soon as one of its gaps is too long. The
//! load pattern: more prompts and streams arrive than passes of that length can take.

use std::time::Duration;

use crate::config::Engine;

/// Share of the passes that take longer than the estimate of a long pass.
const LONG_SHARE: f64 = 0.1;

/// Largest change of the estimate by one gap, relative to the estimate.
const STEP: f64 = 0.08;

/// Share of the accepted gap that long gaps may take. The rest covers the gaps that
/// are longer still, and the requests that peers admit meanwhile.
const TARGET_SHARE: f64 = 0.85;

/// Stretch that is assumed at first: a group that has just opened has a map that doesn't
/// fit the demand.
const INITIAL_STRETCH: f64 = 2.5;

/// Interval at which running requests are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);

/// Time without events after which the pace is unknown.
const LIFETIME: Duration = Duration::from_secs(2);

/// Bounds of the limit for the most urgent requests, in requests per slot.
const LIMIT_BOUNDS: (f64, f64) = (0.65, 1.5);

/// Lower bound of the limit for less urgent requests, in requests per slot. Callers must
/// not be refused while half of the slots are free.
const LIMIT_MIN: f64 = 0.52;

/// Share of the room that the least urgent requests leave to more urgent ones.
const RESERVE: f64 = 0.2;

/// The pace of a group's passes, as observed by this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Room {
    /// Time of long passes as a multiple of the pass time of the cost model.
    stretch: f64,
    last_event: Option<Duration>,
    /// Mean number of open requests of the ranks.
    running: f64,
    /// The same, one count earlier.
    previous: f64,
    counted_at: Duration,
}

impl Room {
    /// Whether `record` needs the number of running requests again.
    pub fn is_count_due(&self, now: Duration) -> bool {
        now >= self.counted_at + COUNT_INTERVAL
    }

    /// Records a gap between two events of a stream. `running` is the mean number of
    /// open requests of the group's ranks, unless it was given recently.
    pub fn record(&mut self, now: Duration, gap: Duration, running: Option<f64>, engine: &Engine) {
        if let Some(running) = running {
            self.previous = self.running;
            (self.running, self.counted_at) = (running, now);
        }
        // The pass may have begun with fewer requests than there are now.
        let running = self.running.min(self.previous);
        let modelled = pass_time(engine, running.min(f64::from(engine.slots)));
        if modelled.is_zero() {
            return;
        }
        let stretch = gap.as_secs_f64() / modelled.as_secs_f64();
        let (up, down) = (STEP * (1.0 - LONG_SHARE), STEP * LONG_SHARE);
        self.stretch = if self.is_unknown(now) {
            stretch.max(INITIAL_STRETCH)
        } else if stretch > self.stretch {
            stretch.min(self.stretch * (1.0 + up))
        } else {
            stretch.max(self.stretch * (1.0 - down))
        };
        self.last_event = Some(now);
    }

    /// Number of open requests per rank with which long gaps stay within the accepted
    /// one. Without recent events, the least limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use balance::{config::Engine, room::Room};
    /// let ms = Duration::from_millis;
    /// let engine = Engine {
    ///     slots: 10, stride: 5, step: ms(5), step_per_request: ms(1), ..Engine::default()
    /// };
    /// let mut room = Room::default();
    /// assert_eq!(room.limit(ms(0), &engine, ms(150)), 6.5);
    /// room.record(ms(0), ms(300), Some(10.0), &engine);
    /// assert!(room.limit(ms(0), &engine, ms(150)) < 7.0);
    /// ```
    pub fn limit(&self, now: Duration, engine: &Engine, accepted: Duration) -> f64 {
        let slots = f64::from(engine.slots);
        let (least, most) = (slots * LIMIT_BOUNDS.0, slots * LIMIT_BOUNDS.1);
        let per_request = engine.step_per_request.as_secs_f64();
        if self.is_unknown(now) || self.stretch <= 0.0 || per_request <= 0.0 {
            return least;
        }
        let step =
            accepted.as_secs_f64() * TARGET_SHARE / self.stretch / f64::from(engine.stride.max(1));
        ((step - engine.step.as_secs_f64()) / per_request).clamp(least, most)
    }

    /// Time of long passes as a multiple of the pass time of the cost model.
    pub fn stretch(&self) -> f64 {
        self.stretch
    }

    fn is_unknown(&self, now: Duration) -> bool {
        self.last_event.is_none_or(|last| now >= last + LIFETIME)
    }
}

/// Part of a limit that requests may use which are at `depth` between the most urgent
/// (0) and the least urgent ones (1). Never below half of the slots.
///
/// ```
/// assert_eq!(balance::room::share(10.0, 10, 0.0), 10.0);
/// assert_eq!(balance::room::share(10.0, 10, 1.0), 8.0);
/// assert_eq!(balance::room::share(6.0, 10, 1.0), 5.2);
/// ```
pub fn share(limit: f64, slots: u32, depth: f64) -> f64 {
    (limit * (1.0 - RESERVE * depth)).max(f64::from(slots) * LIMIT_MIN)
}

/// Pass time by the cost model, without prefill and with experts that are evenly used.
fn pass_time(engine: &Engine, running: f64) -> Duration {
    (engine.step + engine.step_per_request.mul_f64(running)) * engine.stride.max(1)
}
