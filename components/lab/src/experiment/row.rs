//! Figures over all seeds, with their targets.

use serde::{Deserialize, Serialize};
use tables::Name;

use super::Figure;

/// What a target asks of each seed's value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// At most this.
    Most(f64),
    /// Less than this.
    Below(f64),
}

impl Bound {
    /// Whether a value keeps the bound. A value that isn't a number doesn't.
    ///
    /// ```
    /// use lab::experiment::Bound;
    /// assert!(Bound::Most(1.0).is_met(1.0));
    /// assert!(!Bound::Below(1.0).is_met(1.0));
    /// ```
    pub fn is_met(self, value: f64) -> bool {
        match self {
            Bound::Most(bound) => value <= bound,
            Bound::Below(bound) => value < bound,
        }
    }
}

impl std::fmt::Display for Bound {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Bound::Most(bound) => write!(f, "<= {bound}"),
            Bound::Below(bound) => write!(f, "< {bound}"),
        }
    }
}

/// One measure of one policy over all seeds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The study.
    pub study: Name,
    /// The policy, or what else was compared.
    pub policy: Name,
    /// What was measured; the name ends with the unit.
    pub measure: Name,
    /// The value of each seed.
    pub values: Vec<f64>,
    /// The middle value.
    pub median: f64,
    /// The least value.
    pub least: f64,
    /// The greatest value.
    pub most: f64,
    /// The target, if there is one.
    pub bound: Option<Bound>,
    /// Whether each value keeps the target.
    pub met: Option<bool>,
}

impl Row {
    /// Sets a target.
    ///
    /// ```
    /// use lab::experiment::{Bound, Figure, rows};
    /// let mut rows = rows(&[Figure::new("s", "p", "m", 1, 2.0)]);
    /// rows[0].aim(Bound::Most(1.0));
    /// assert_eq!(rows[0].met, Some(false));
    /// ```
    pub fn aim(&mut self, bound: Bound) {
        self.bound = Some(bound);
        self.met = Some(self.values.iter().all(|value| bound.is_met(*value)));
    }
}

/// Sums figures up by study, policy and measure, in the order in which each
/// first occurs.
///
/// ```
/// use lab::experiment::{Figure, rows};
/// let figures = [3.0, 1.0, 2.0].map(|value| Figure::new("s", "p", "m", 1, value));
/// let rows = rows(&figures);
/// assert_eq!((rows[0].least, rows[0].median, rows[0].most), (1.0, 2.0, 3.0));
/// ```
pub fn rows(figures: &[Figure]) -> Vec<Row> {
    let mut rows: Vec<Row> = Vec::new();
    for figure in figures {
        let same = |row: &&mut Row| {
            row.study == figure.study
                && row.policy == figure.policy
                && row.measure == figure.measure
        };
        match rows.iter_mut().find(same) {
            Some(row) => row.values.push(figure.value),
            None => rows.push(Row::new(figure)),
        }
    }
    rows.iter_mut().for_each(Row::sum_up);
    rows
}

/// The rows as a table for people.
///
/// ```
/// assert!(lab::experiment::print(&[]).starts_with("study"));
/// ```
pub fn print(rows: &[Row]) -> String {
    let mut table = format!(
        "{:<10} {:<28} {:<28} {:>10} {:>10} {:>10}  {:<10} {}\n",
        "study", "policy", "measure", "median", "least", "most", "target", "result"
    );
    for row in rows {
        let Row { study, policy, measure, median, least, most, bound, met, .. } = row;
        let bound = bound.map(|bound| bound.to_string()).unwrap_or_default();
        let verdict = match met {
            Some(true) => "met",
            Some(false) => "missed",
            None => "",
        };
        let line = format!(
            "{study:<10} {policy:<28} {measure:<28} {median:>10.2} {least:>10.2} {most:>10.2}  {bound:<10} {verdict}"
        );
        table.push_str(line.trim_end());
        table.push('\n');
    }
    table
}

impl Row {
    fn new(figure: &Figure) -> Row {
        Row {
            study: figure.study.clone(),
            policy: figure.policy.clone(),
            measure: figure.measure.clone(),
            values: vec![figure.value],
            median: figure.value,
            least: figure.value,
            most: figure.value,
            bound: None,
            met: None,
        }
    }

    fn sum_up(&mut self) {
        let mut sorted = self.values.clone();
        sorted.sort_by(f64::total_cmp);
        let middle = sorted.len() / 2;
        let even = sorted.len().is_multiple_of(2);
        self.median =
            if even { (sorted[middle - 1] + sorted[middle]) / 2.0 } else { sorted[middle] };
        self.least = sorted[0];
        self.most = sorted[sorted.len() - 1];
    }
}
