//! Metrics of the entry.

use telemetry::{Counter, Histogram, Metrics};

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.8, 1.6, 3.2, 8.0];

/// Metric instruments of the entry.
pub struct Meter {
    /// Requests received.
    pub requests: Counter,
    /// Requests answered completely.
    pub answered: Counter,
    /// Requests that the entry refused or failed.
    pub refused: Counter,
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
    /// Time to the first event of a stream.
    pub first_event_seconds: Histogram,
    /// Time to the complete response.
    pub answer_seconds: Histogram,
}

impl Meter {
    /// Registers the instruments. Call once per process.
    pub fn new(metrics: &Metrics) -> Meter {
        let counter = |name, help| metrics.counter(name, help, &[]);
        let histogram = |name, help| metrics.histogram(name, help, &BUCKETS_SECONDS, &[]);
        Meter {
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
            first_event_seconds: histogram(
                "gateway_first_event_seconds",
                "Time to the first event",
            ),
            answer_seconds: histogram("gateway_answer_seconds", "Time to the whole answer"),
        }
    }
}
