//! What an entry knows of the load of its backend servers.
//!
//! Reports arrive late, so each is corrected by the entry's own dispatches
//! since it arrived, and trusted less with age.

use std::collections::HashMap;
use std::time::Duration;

use tables::Name;

/// Age up to which a report is trusted whole.
pub const FRESH: Duration = Duration::from_millis(100);
/// Time in which the trust in an ageing report halves.
pub const HALF_LIFE: Duration = Duration::from_millis(500);
/// Age beyond which a report is not trusted at all.
pub const EXPIRY: Duration = Duration::from_secs(10);

/// What is known of one backend server's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// The last report, corrected by the own dispatches since it arrived.
    pub report: Option<wire::Report>,
    /// Time since the report arrived.
    pub age: Duration,
    /// Trust in the report, from 1 (fresh) to 0 (old or none).
    pub trust: f64,
}

/// The last report and the own requests in flight of each backend server.
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
    /// Takes in a report that arrived now.
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

    /// Forgets a backend server that left.
    pub fn forget(&mut self, server: &str) {
        self.pages.remove(server);
    }

    /// What is known of a backend server now.
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

    /// Counts a request of `tokens` prompt tokens as sent to a backend server.
    pub fn started(&mut self, _now: Duration, server: &Name, tokens: u32) {
        let page = self.page(server);
        page.in_flight += 1;
        page.tokens = page.tokens.saturating_add(tokens);
        page.started += 1;
        page.prefill = page.prefill.saturating_add(tokens);
    }

    /// Counts a request that was started before as over.
    pub fn ended(&mut self, _now: Duration, server: &Name, tokens: u32) {
        let page = self.page(server);
        page.in_flight = page.in_flight.saturating_sub(1);
        page.tokens = page.tokens.saturating_sub(tokens);
        page.ended += 1;
        page.prefill = page.prefill.saturating_sub(tokens);
    }

    /// The number of own requests that a backend server has now.
    pub fn in_flight(&self, server: &str) -> u32 {
        self.pages.get(server).map_or(0, |page| page.in_flight)
    }

    /// The prompt tokens of the own requests that a backend server has now.
    pub fn tokens(&self, server: &str) -> u32 {
        self.pages.get(server).map_or(0, |page| page.tokens)
    }

    fn page(&mut self, server: &Name) -> &mut Page {
        self.pages.entry(server.clone()).or_default()
    }
}

/// The trust in a report of this age.
fn trust(age: Duration) -> f64 {
    if age >= EXPIRY {
        return 0.0;
    }
    let beyond = age.saturating_sub(FRESH).as_secs_f64();
    0.5f64.powf(beyond / HALF_LIFE.as_secs_f64())
}
