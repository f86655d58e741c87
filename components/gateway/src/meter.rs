//! Metrics of the entry.

use std::collections::BTreeMap;
use std::time::Duration;

use balance::Reason;
use balance::content::Kind;
use listener::Rejection;
use tables::Name;
use telemetry::{Counter, Gauge, Histogram, Metrics};

use crate::crossing::Crossings;

/// Statuses of the entry's own responses that reject a request as wrong.
const DENIALS: [(u16, &str); 6] =
    [(400, "400"), (401, "401"), (404, "404"), (408, "408"), (413, "413"), (431, "431")];

/// Reasons for which the listener rejects a head or a connection.
const REASONS: [&str; 6] = ["late", "large", "malformed", "ambiguous", "empty_lines", "crowded"];

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.8, 1.6, 3.2, 8.0];

/// Number of levels of urgency that are told apart. Less urgent ones count as the last.
const LEVELS: usize = 10;

/// Requests of a level of urgency that waited for room.
struct Waits {
    dispatched: Counter,
    expired: Counter,
    displaced: Counter,
}

/// Metric instruments of the entry.
pub struct Meter {
    /// Requests that waited, by level of urgency.
    waits: Vec<Waits>,
    /// Time for which requests waited for room.
    pub wait_seconds: Histogram,
    /// Requests received.
    pub requests: Counter,
    /// Requests answered completely.
    pub answered: Counter,
    /// Requests that the entry refused or failed.
    pub refused: Counter,
    /// Requests rejected as wrong, by status.
    denied: BTreeMap<u16, Counter>,
    /// Heads and connections that the listener rejected, by reason.
    rejected: BTreeMap<&'static str, Counter>,
    /// Bodies that were evicted or not read because the memory was exhausted.
    pub evicted_bodies: Counter,
    /// Time since the copy of each kind was known to match the store.
    synced_age: BTreeMap<Kind, Gauge>,
    /// Responses that were aborted.
    pub cut: Counter,
    /// Requests whose caller disconnected.
    pub disconnected: Counter,
    /// Attempts after the first.
    pub retries: Counter,
    /// Trials of suspected prompt parts.
    pub trials: Counter,
    /// Attempts without an event that ended with a crash of the backend server.
    pub crashes: Counter,
    /// Streams resumed on another backend server.
    pub resumed: Counter,
    /// Connections opened to backend servers.
    pub connections: Counter,
    /// Failed calls to the store.
    pub store_failures: Counter,
    /// Objects in the store that could not be decoded.
    pub malformed_objects: Counter,
    /// Responses whose leaving or backoff notice is malformed.
    pub unreadable_notices: Counter,
    /// Responses that are malformed or exceed a size limit.
    pub unusable_answers: Counter,
    /// Traffic to other zones.
    pub crossings: Crossings,
    /// Time to the first event of a stream.
    pub first_event_seconds: Histogram,
    /// Time to the complete response.
    pub answer_seconds: Histogram,
}

impl Meter {
    /// Registers the instruments of an entry in the zone `home`. Call once per process.
    pub fn new(metrics: &Metrics, home: Name) -> Meter {
        let counter = |name, help| metrics.counter(name, help, &[]);
        let histogram = |name, help| metrics.histogram(name, help, &BUCKETS_SECONDS, &[]);
        let denied = |(status, label): (u16, &str)| {
            let help = "Requests that the entry rejected as wrong";
            (status, metrics.counter("gateway_denied", help, &[("status", label)]))
        };
        let rejected = |reason: &'static str| {
            let help = "Request heads and connections that were rejected, by reason";
            (reason, metrics.counter("gateway_rejected", help, &[("reason", reason)]))
        };
        let synced_age = |kind: Kind| {
            let help = "Time since the entry's copy was known to match the store";
            let label = format!("{kind:?}");
            (kind, metrics.gauge("gateway_synced_age_seconds", help, &[("kind", &label)]))
        };
        let waits = |level: usize| {
            let level = level.to_string();
            let waited = |outcome| {
                let labels = [("level", level.as_str()), ("outcome", outcome)];
                metrics.counter("gateway_waited", "Requests that waited for room", &labels)
            };
            Waits {
                dispatched: waited("dispatched"),
                expired: waited("expired"),
                displaced: waited("displaced"),
            }
        };
        Meter {
            waits: (0..LEVELS).map(waits).collect(),
            wait_seconds: histogram("gateway_wait_seconds", "Time waited for room"),
            denied: DENIALS.into_iter().map(denied).collect(),
            rejected: REASONS.into_iter().map(rejected).collect(),
            evicted_bodies: counter(
                "gateway_evicted_bodies",
                "Bodies not taken because the memory for bodies was exhausted",
            ),
            synced_age: Kind::ALL.into_iter().map(synced_age).collect(),
            requests: counter("gateway_requests", "Requests that arrived"),
            answered: counter("gateway_answered", "Requests answered whole"),
            refused: counter("gateway_refused", "Requests that the entry refused or failed"),
            cut: counter("gateway_cut", "Answers that were broken off"),
            disconnected: counter("gateway_left", "Requests whose caller left"),
            retries: counter("gateway_retries", "Attempts after the first"),
            trials: counter("gateway_trials", "Trials of suspected prompt parts"),
            crashes: counter(
                "gateway_crashes",
                "Attempts without an event whose backend server crashed",
            ),
            resumed: counter("gateway_resumed", "Streams resumed on another backend server"),
            connections: counter("gateway_connections", "Connections opened to backend servers"),
            store_failures: counter("gateway_store_failures", "Calls to the store that failed"),
            malformed_objects: counter(
                "gateway_malformed",
                "Objects in the store that can't be read",
            ),
            unreadable_notices: counter(
                "gateway_unreadable_notices",
                "Answers whose word on the server's leaving or pause can't be read",
            ),
            unusable_answers: counter(
                "gateway_unusable_answers",
                "Answers that can't be read or went on beyond any bound",
            ),
            crossings: Crossings::new(metrics, home),
            first_event_seconds: histogram(
                "gateway_first_event_seconds",
                "Time to the first event",
            ),
            answer_seconds: histogram("gateway_answer_seconds", "Time to the whole answer"),
        }
    }

    /// Counts a request rejected with `status`, if the status says that the request
    /// is wrong.
    pub fn record_denial(&self, status: u16) {
        if let Some(counter) = self.denied.get(&status) {
            counter.add(1);
        }
    }

    /// Counts a request that waited for room, and the reason if it was then refused.
    pub fn record_wait(&self, level: usize, refused: Option<Reason>) {
        let waits = &self.waits[level.min(LEVELS - 1)];
        match refused {
            None => waits.dispatched.add(1),
            Some(Reason::Displaced) => waits.displaced.add(1),
            Some(_) => waits.expired.add(1),
        }
    }

    /// Counts a head or connection that the listener rejected.
    pub fn record_rejection(&self, rejection: &Rejection) {
        if let Some(counter) = self.rejected.get(rejection.reason()) {
            counter.add(1);
        }
    }

    /// Records the time since the copy of a kind was known to match the store.
    pub fn record_synced_age(&self, kind: Kind, age: Duration) {
        if let Some(gauge) = self.synced_age.get(&kind) {
            gauge.set(age.as_secs_f64());
        }
    }
}
