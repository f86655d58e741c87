//! What can be wrong with a settings file.

use std::ops::RangeInclusive;
use std::sync::Arc;

/// One fault and its place.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{pointer}: {reason}")]
pub struct Fault {
    /// JSON pointer of the faulty value; empty for the whole file.
    pub pointer: String,
    /// What is wrong there.
    pub reason: Reason,
}

/// Why a place in a settings file is faulty.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Reason {
    /// The settings have no such field.
    #[error("unknown field `{field}`")]
    Unknown {
        /// Name of the field.
        field: String,
    },
    /// A field that has no default is absent.
    #[error("missing field `{field}`")]
    Missing {
        /// Name of the field.
        field: String,
    },
    /// A field occurs more than once.
    #[error("repeated field `{field}`")]
    Repeated {
        /// Name of the field.
        field: String,
    },
    /// The value has the wrong type or can't be read as what it should be.
    #[error("{detail}")]
    Shape {
        /// The deserializer's account.
        detail: String,
    },
    /// A number is out of its range.
    #[error("{found} is out of the range {min} to {max}")]
    Range {
        /// The number found.
        found: f64,
        /// The least number allowed.
        min: f64,
        /// The greatest number allowed.
        max: f64,
    },
    /// A name or a list is empty.
    #[error("must not be empty")]
    Empty,
    /// Two values that must differ or agree don't.
    #[error("conflicts with {other}")]
    Conflict {
        /// JSON pointer of the other value.
        other: String,
    },
    /// A fault with a type of its own.
    #[error("{0}")]
    Other(Arc<dyn std::error::Error + Send + Sync>),
}

/// Settings that can check their own ranges and relations.
pub trait Check {
    /// All faults of a value whose types are right.
    fn faults(&self) -> Vec<Fault>;
}

impl Fault {
    /// A fault at `pointer`.
    ///
    /// ```
    /// use settings::{Fault, Reason};
    /// let fault = Fault::new("/pool", Reason::Empty);
    /// assert_eq!(fault.to_string(), "/pool: must not be empty");
    /// ```
    pub fn new(pointer: impl Into<String>, reason: Reason) -> Self {
        Self { pointer: pointer.into(), reason }
    }

    /// A fault if `found` lies outside `range`; a number that isn't one does.
    ///
    /// ```
    /// use settings::Fault;
    /// assert!(Fault::out_of_range("/rate", 3.0, 0.0..=1.0).is_some());
    /// assert!(Fault::out_of_range("/rate", 0.5, 0.0..=1.0).is_none());
    /// ```
    pub fn out_of_range(
        pointer: impl Into<String>,
        found: f64,
        range: RangeInclusive<f64>,
    ) -> Option<Self> {
        if range.contains(&found) {
            return None;
        }
        let reason = Reason::Range { found, min: *range.start(), max: *range.end() };
        Some(Self::new(pointer, reason))
    }

    /// The same fault as seen from an outer value that holds the checked one
    /// at `prefix`.
    ///
    /// ```
    /// use settings::{Fault, Reason};
    /// let fault = Fault::new("/name", Reason::Empty).with_prefix("/pools/0");
    /// assert_eq!(fault.pointer, "/pools/0/name");
    /// ```
    pub fn with_prefix(self, prefix: &str) -> Self {
        Self { pointer: format!("{prefix}{}", self.pointer), reason: self.reason }
    }
}
