//! The entry's metrics.

use telemetry::{Counter, Histogram, Metrics};

/// Upper bounds of the buckets for times, in seconds.
const BOUNDS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.8, 1.6, 3.2, 8.0];

/// Instruments of the entry.
pub struct Meter {
    /// Requests that arrived.
    pub requests: Counter,
    /// Requests answered whole.
    pub answered: Counter,
    /// Requests that ended with a refusal or an error of the entry.
    pub refused: Counter,
    /// Answers that were broken off.
    pub cut: Counter,
    /// Requests whose caller left.
    pub left: Counter,
    /// Attempts after the first.
    pub retries: Counter,
    /// Streams that another backend server went on with.
    pub resumed: Counter,
    /// Connections to backend servers that were opened.
    pub connections: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
    /// Objects in the store that could not be read.
    pub malformed: Counter,
    /// Answers whose word on the server's leaving or pause can't be read.
    pub unreadable: Counter,
    /// Answers that can't be read or went on beyond any bound.
    pub unusable: Counter,
    /// Time to the first event of a stream.
    pub first: Histogram,
    /// Time to the whole answer.
    pub whole: Histogram,
}

impl Meter {
    /// Makes the instruments once.
    pub fn new(metrics: &Metrics) -> Meter {
        let counter = |name, help| metrics.counter(name, help, &[]);
        let histogram = |name, help| metrics.histogram(name, help, &BOUNDS, &[]);
        Meter {
            requests: counter("gateway_requests", "Requests that arrived"),
            answered: counter("gateway_answered", "Requests answered whole"),
            refused: counter("gateway_refused", "Requests that the entry refused or failed"),
            cut: counter("gateway_cut", "Answers that were broken off"),
            left: counter("gateway_left", "Requests whose caller left"),
            retries: counter("gateway_retries", "Attempts after the first"),
            resumed: counter("gateway_resumed", "Streams resumed on another backend server"),
            connections: counter("gateway_connections", "Connections opened to backend servers"),
            store_failures: counter("gateway_store_failures", "Calls to the store that failed"),
            malformed: counter("gateway_malformed", "Objects in the store that can't be read"),
            unreadable: counter(
                "gateway_unreadable_notices",
                "Answers whose word on the server's leaving or pause can't be read",
            ),
            unusable: counter(
                "gateway_unusable_answers",
                "Answers that can't be read or went on beyond any bound",
            ),
            first: histogram("gateway_first_event_seconds", "Time to the first event"),
            whole: histogram("gateway_answer_seconds", "Time to the whole answer"),
        }
    }
}
