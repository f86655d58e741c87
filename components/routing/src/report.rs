//! Load estimates of the backend servers.
//!
//! Reports are delayed, so each is corrected by the requests that this entry
//! has started and ended since, and its confidence decays with age.

use std::collections::HashMap;
use std::time::Duration;

use tables::Name;

/// Age up to which a report has full confidence.
pub const FULL_CONFIDENCE_AGE: Duration = Duration::from_millis(100);
/// Time in which the confidence in an older report halves.
pub const HALF_LIFE: Duration = Duration::from_millis(500);
/// Age at which a report expires.
pub const EXPIRY: Duration = Duration::from_secs(10);

/// The estimated load of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// The last report, corrected by this entry's requests since it arrived.
    pub report: Option<wire::Report>,
    /// Time since the report arrived.
    pub age: Duration,
    /// Confidence in the report, from 1 (fresh) to 0 (expired or none).
    pub confidence: f64,
}

/// Tracks the last report of each backend server and this entry's requests in
/// flight there.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    records: HashMap<Name, Record>,
}

#[derive(Clone, Debug, Default)]
struct Record {
    report: Option<wire::Report>,
    received_at: Duration,
    in_flight: u32,
    tokens: u32,
    started: u32,
    ended: u32,
    prefill: u32,
}

impl Tracker {
    /// Records a report that arrived at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut tracker = routing::report::Tracker::default();
    /// let now = Duration::from_secs(1);
    /// tracker.observe(now, &"s1".into(), wire::Report { running: 3, ..Default::default() });
    /// assert_eq!(tracker.view(now, "s1").confidence, 1.0);
    /// ```
    pub fn observe(&mut self, now: Duration, server: &Name, report: wire::Report) {
        let record = self.record(server);
        record.report = Some(report);
        record.received_at = now;
        record.started = 0;
        record.ended = 0;
        record.prefill = 0;
    }

    /// Removes a backend server that left.
    pub fn remove(&mut self, server: &str) {
        self.records.remove(server);
    }

    /// The estimated load of a backend server at `now`.
    pub fn view(&self, now: Duration, server: &str) -> View {
        let Some(record) = self.records.get(server) else {
            return View::default();
        };
        let Some(mut report) = record.report else {
            return View::default();
        };
        let age = now.saturating_sub(record.received_at);
        report.running = (report.running + record.started).saturating_sub(record.ended);
        report.prefill = report.prefill.saturating_add(record.prefill);
        View { report: Some(report), age, confidence: confidence(age) }
    }

    /// Counts a request of `tokens` prompt tokens sent to a backend server.
    pub fn started(&mut self, _now: Duration, server: &Name, tokens: u32) {
        let record = self.record(server);
        record.in_flight += 1;
        record.tokens = record.tokens.saturating_add(tokens);
        record.started += 1;
        record.prefill = record.prefill.saturating_add(tokens);
    }

    /// Removes a request counted by [`Tracker::started`].
    pub fn ended(&mut self, _now: Duration, server: &Name, tokens: u32) {
        let record = self.record(server);
        record.in_flight = record.in_flight.saturating_sub(1);
        record.tokens = record.tokens.saturating_sub(tokens);
        record.ended += 1;
        record.prefill = record.prefill.saturating_sub(tokens);
    }

    /// This entry's requests in flight on a backend server.
    pub fn in_flight(&self, server: &str) -> u32 {
        self.records.get(server).map_or(0, |record| record.in_flight)
    }

    /// The prompt tokens of this entry's requests in flight on a backend server.
    pub fn tokens(&self, server: &str) -> u32 {
        self.records.get(server).map_or(0, |record| record.tokens)
    }

    fn record(&mut self, server: &Name) -> &mut Record {
        self.records.entry(server.clone()).or_default()
    }
}

/// The confidence in a report of this age.
fn confidence(age: Duration) -> f64 {
    if age >= EXPIRY {
        return 0.0;
    }
    let excess_age = age.saturating_sub(FULL_CONFIDENCE_AGE).as_secs_f64();
    0.5f64.powf(excess_age / HALF_LIFE.as_secs_f64())
}
