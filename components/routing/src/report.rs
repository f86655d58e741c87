//! Load estimates of the backend servers.
//!
//! Reports are delayed, so each is corrected by the requests that this entry
//! has started and ended since, and its confidence decays with age.

use std::collections::HashMap;
use std::time::Duration;

use tables::Name;

/// Age up to which a report has full confidence.
pub const FRESH: Duration = Duration::from_millis(100);
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
    pub trust: f64,
}

/// Tracks the last report of each backend server and this entry's requests in
/// flight there.
#[derive(Clone, Debug, Default)]
pub struct Book {
    pages: HashMap<Name, Page>,
}

#[derive(Clone, Debug, Default)]
struct Page {
    report: Option<wire::Report>,
    at: Duration,
    in_flight: u32,
    tokens: u32,
    started: u32,
    ended: u32,
    prefill: u32,
}

impl Book {
    /// Records a report that arrived at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut book = routing::report::Book::default();
    /// let now = Duration::from_secs(1);
    /// book.observe(now, &"s1".into(), wire::Report { running: 3, ..Default::default() });
    /// assert_eq!(book.view(now, "s1").trust, 1.0);
    /// ```
    pub fn observe(&mut self, now: Duration, server: &Name, report: wire::Report) {
        let page = self.page(server);
        page.report = Some(report);
        page.at = now;
        page.started = 0;
        page.ended = 0;
        page.prefill = 0;
    }

    /// Removes a backend server that left.
    pub fn forget(&mut self, server: &str) {
        self.pages.remove(server);
    }

    /// The estimated load of a backend server at `now`.
    pub fn view(&self, now: Duration, server: &str) -> View {
        let Some(page) = self.pages.get(server) else {
            return View::default();
        };
        let Some(mut report) = page.report else {
            return View::default();
        };
        let age = now.saturating_sub(page.at);
        report.running = (report.running + page.started).saturating_sub(page.ended);
        report.prefill = report.prefill.saturating_add(page.prefill);
        View { report: Some(report), age, trust: trust(age) }
    }

    /// Counts a request of `tokens` prompt tokens sent to a backend server.
    pub fn started(&mut self, _now: Duration, server: &Name, tokens: u32) {
        let page = self.page(server);
        page.in_flight += 1;
        page.tokens = page.tokens.saturating_add(tokens);
        page.started += 1;
        page.prefill = page.prefill.saturating_add(tokens);
    }

    /// Removes a request counted by [`Book::started`].
    pub fn ended(&mut self, _now: Duration, server: &Name, tokens: u32) {
        let page = self.page(server);
        page.in_flight = page.in_flight.saturating_sub(1);
        page.tokens = page.tokens.saturating_sub(tokens);
        page.ended += 1;
        page.prefill = page.prefill.saturating_sub(tokens);
    }

    /// This entry's requests in flight on a backend server.
    pub fn in_flight(&self, server: &str) -> u32 {
        self.pages.get(server).map_or(0, |page| page.in_flight)
    }

    /// The prompt tokens of this entry's requests in flight on a backend server.
    pub fn tokens(&self, server: &str) -> u32 {
        self.pages.get(server).map_or(0, |page| page.tokens)
    }

    fn page(&mut self, server: &Name) -> &mut Page {
        self.pages.entry(server.clone()).or_default()
    }
}

/// The confidence in a report of this age.
fn trust(age: Duration) -> f64 {
    if age >= EXPIRY {
        return 0.0;
    }
    let beyond = age.saturating_sub(FRESH).as_secs_f64();
    0.5f64.powf(beyond / HALF_LIFE.as_secs_f64())
}
