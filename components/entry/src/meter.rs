//! Metrics of the entry.

use routing::router::Counters;
use telemetry::{Gauge, Metrics};

/// The entry's instruments. Gauges are set from the router's and links' counters.
pub struct Meter {
    requests: Gauge,
    answered: Gauge,
    problems: Gauge,
    retries: Gauge,
    resumed: Gauge,
    stale: Gauge,
    open: Gauge,
    revision: Gauge,
    received: Gauge,
    malformed: Gauge,
    dropped: Gauge,
    first_part: telemetry::Histogram,
}

/// Upper bounds of the histogram of times to the first part of an answer.
const FIRST_PART_BOUNDS_S: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.53, 1.0, 2.0, 5.0];

impl Meter {
    /// Registers the instruments.
    pub fn new(metrics: &Metrics) -> Meter {
        let gauge = |name, help| metrics.gauge(name, help, &[]);
        Meter {
            requests: gauge("entry_requests", "Requests that callers sent"),
            answered: gauge("entry_answered", "Requests answered whole"),
            problems: gauge("entry_problems", "Requests that ended with a problem"),
            retries: gauge("entry_retries", "Attempts after the first"),
            resumed: gauge("entry_resumed", "Streams resumed on another backend server"),
            stale: gauge("entry_stale", "Messages for attempts that are over"),
            open: gauge("entry_open", "Requests not answered yet"),
            revision: gauge("entry_revision", "Revision of the configuration in force"),
            received: gauge("entry_frames_received", "Frames that arrived"),
            malformed: gauge("entry_frames_malformed", "Frames that could not be decoded"),
            dropped: gauge("entry_frames_dropped", "Frames that a peer did not take"),
            first_part: metrics.histogram(
                "entry_first_part_seconds",
                "Time to the first part of an answer",
                &FIRST_PART_BOUNDS_S,
                &[],
            ),
        }
    }

    /// Updates the gauges of the router.
    pub fn update(&self, counters: &Counters, open: usize, revision: u64) {
        self.requests.set(counters.asked as f64);
        self.answered.set(counters.answered as f64);
        self.problems.set(counters.problems as f64);
        self.retries.set(counters.retries as f64);
        self.resumed.set(counters.resumed as f64);
        self.stale.set(counters.stale as f64);
        self.open.set(open as f64);
        self.revision.set(revision as f64);
    }

    /// Updates the gauges of the links.
    pub fn update_links(&self, counters: &wire::Counters) {
        use std::sync::atomic::Ordering::Relaxed;
        self.received.set(counters.received.load(Relaxed) as f64);
        self.malformed.set(counters.malformed.load(Relaxed) as f64);
        self.dropped.set(counters.dropped.load(Relaxed) as f64);
    }

    /// Records the time from a request to the first part of its answer.
    pub fn record_first_part(&self, seconds: f64) {
        self.first_part.record(seconds);
    }
}
