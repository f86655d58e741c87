//! Counts and latencies of a load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::outcome::Outcome;
use super::plan::Kind;

/// Greatest latency that is told apart, in microseconds.
const HIGHEST: u64 = 600_000_000;
/// Digits that latencies are exact to.
const DIGITS: u8 = 3;

/// What came of one request. Times are since the start of the load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The kind of the request.
    pub kind: Kind,
    /// When it was to start.
    pub intended: Duration,
    /// When the first part of the answer came.
    pub first: Option<Duration>,
    /// Times between the parts that followed.
    pub gaps: Vec<Duration>,
    /// When it ended.
    pub ended: Duration,
    /// What became of it.
    pub outcome: Outcome,
}

/// Requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All that ended.
    pub sent: u64,
    /// Answered whole and right.
    pub whole: u64,
    /// Refused and not run.
    pub not_run: u64,
    /// Refused, may have run.
    pub may_have_run: u64,
    /// Without answer.
    pub lost: u64,
    /// Answered wrongly.
    pub wrong: u64,
}

impl Count {
    /// Adds the counts of another load.
    ///
    /// ```
    /// use lab::load::Count;
    /// let mut count = Count { sent: 2, whole: 2, ..Count::default() };
    /// count.join(Count { sent: 1, lost: 1, ..Count::default() });
    /// assert_eq!((count.sent, count.whole, count.lost), (3, 2, 1));
    /// ```
    pub fn join(&mut self, other: Count) {
        self.sent += other.sent;
        self.whole += other.whole;
        self.not_run += other.not_run;
        self.may_have_run += other.may_have_run;
        self.lost += other.lost;
        self.wrong += other.wrong;
    }
}

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Half are at most this.
    pub p50: f64,
    /// 95 in 100 are at most this.
    pub p95: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
    /// The greatest.
    pub max: f64,
}

/// One line of results: a kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The kind.
    pub kind: Kind,
    /// Requests by outcome.
    #[serde(flatten)]
    pub count: Count,
    /// From the intended start to the first part, of whole answers.
    pub first_ms: Quantiles,
    /// Between parts, of whole answers.
    pub gap_ms: Quantiles,
    /// From the intended start to the end, of whole answers.
    pub total_ms: Quantiles,
}

/// A line with the load that it comes from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The load's seed.
    pub seed: u64,
    /// Requests a second.
    pub rate: f64,
    /// The results.
    #[serde(flatten)]
    pub line: Line,
}

#[derive(Clone, Debug)]
struct Part {
    count: Count,
    first: Histogram<u64>,
    gap: Histogram<u64>,
    total: Histogram<u64>,
}

/// Counts and histograms by kind of work.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    parts: BTreeMap<Kind, Part>,
}

impl Tally {
    /// Counts one request.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lab::load::{Answer, Kind, Outcome, Tally};
    ///
    /// let mut tally = Tally::default();
    /// tally.record(&Answer {
    ///     kind: Kind::Booking,
    ///     intended: Duration::from_secs(1),
    ///     first: None,
    ///     gaps: Vec::new(),
    ///     ended: Duration::from_secs(3),
    ///     outcome: Outcome::Whole,
    /// });
    /// assert_eq!(tally.count().whole, 1);
    /// assert!(tally.lines()[0].total_ms.p50 >= 1999.0);
    /// ```
    pub fn record(&mut self, answer: &Answer) {
        let part = self.parts.entry(answer.kind).or_insert_with(Part::new);
        part.count.add(answer.outcome);
        if answer.outcome != Outcome::Whole {
            return;
        }
        if let Some(first) = answer.first {
            note(&mut part.first, first.saturating_sub(answer.intended));
        }
        for gap in &answer.gaps {
            note(&mut part.gap, *gap);
        }
        note(&mut part.total, answer.ended.saturating_sub(answer.intended));
    }

    /// Requests of all kinds by outcome.
    ///
    /// ```
    /// assert_eq!(lab::load::Tally::default().count().sent, 0);
    /// ```
    pub fn count(&self) -> Count {
        let mut sum = Count::default();
        for Part { count, .. } in self.parts.values() {
            sum.sent += count.sent;
            sum.whole += count.whole;
            sum.not_run += count.not_run;
            sum.may_have_run += count.may_have_run;
            sum.lost += count.lost;
            sum.wrong += count.wrong;
        }
        sum
    }

    /// One line of results for each kind.
    ///
    /// ```
    /// assert!(lab::load::Tally::default().lines().is_empty());
    /// ```
    pub fn lines(&self) -> Vec<Line> {
        let line = |(kind, part): (&Kind, &Part)| Line {
            kind: *kind,
            count: part.count,
            first_ms: quantiles(&part.first),
            gap_ms: quantiles(&part.gap),
            total_ms: quantiles(&part.total),
        };
        self.parts.iter().map(line).collect()
    }
}

impl Part {
    fn new() -> Self {
        // The bounds are constants that the library accepts.
        let empty = Histogram::new_with_bounds(1, HIGHEST, DIGITS);
        let empty = empty.unwrap_or_else(|_| Histogram::new(DIGITS).expect("digits are in 0..=5"));
        Self { count: Count::default(), first: empty.clone(), gap: empty.clone(), total: empty }
    }
}

impl Count {
    fn add(&mut self, outcome: Outcome) {
        self.sent += 1;
        let part = match outcome {
            Outcome::Whole => &mut self.whole,
            Outcome::NotRun => &mut self.not_run,
            Outcome::MayHaveRun => &mut self.may_have_run,
            Outcome::Lost => &mut self.lost,
            Outcome::Wrong => &mut self.wrong,
        };
        *part += 1;
    }
}

fn note(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros().try_into().unwrap_or(HIGHEST));
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
    Quantiles {
        count: histogram.len(),
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
        max: histogram.max() as f64 / 1e3,
    }
}
