//! One number that one run gave.

use serde::{Deserialize, Serialize};
use tables::Name;

/// A measured value and where it comes from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// The study.
    pub study: Name,
    /// The policy, or what else was compared.
    pub policy: Name,
    /// What was measured; the name ends with the unit.
    pub measure: Name,
    /// The seed of the run.
    pub seed: u64,
    /// The value.
    pub value: f64,
}

impl Figure {
    /// A figure.
    ///
    /// ```
    /// use lab::experiment::Figure;
    /// let figure = Figure::new("choice", "random", "first_token_p95_ms", 1, 12.5);
    /// assert_eq!(figure.value, 12.5);
    /// ```
    pub fn new(
        study: impl Into<Name>,
        policy: impl Into<Name>,
        measure: impl Into<Name>,
        seed: u64,
        value: f64,
    ) -> Figure {
        let (study, policy, measure) = (study.into(), policy.into(), measure.into());
        Figure { study, policy, measure, seed, value }
    }
}
