//! Faults in the values of a settings file.

use std::ops::RangeInclusive;
use std::sync::Arc;

/// One fault and its location.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{pointer}: {reason}")]
pub struct Fault {
    /// JSON pointer of the faulty value; empty for the whole file.
    pub pointer: String,
    /// The kind of fault.
    pub reason: Reason,
}

/// The kind of a fault.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Reason {
    /// The type has no field of this name.
    #[error("unknown field `{field}`")]
    Unknown {
        /// Name of the field.
        field: String,
    },
    /// A required field is missing.
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
    /// The value has the wrong type or cannot be deserialized.
    #[error("{detail}")]
    Shape {
        /// The error message of the deserializer.
        detail: String,
    },
    /// A number is outside of its allowed range.
    #[error("{found} is out of the range {min} to {max}")]
    Range {
        /// The rejected number.
        found: f64,
        /// The smallest allowed number.
        min: f64,
        /// The largest allowed number.
        max: f64,
    },
    /// A name or list is empty.
    #[error("must not be empty")]
    Empty,
    /// Two values that must differ are equal, or two that must agree differ.
    #[error("conflicts with {other}")]
    Conflict {
        /// JSON pointer of the other value.
        other: String,
    },
    /// A fault specific to the checked type.
    #[error("{0}")]
    Other(Arc<dyn std::error::Error + Send + Sync>),
}

/// Validation of value ranges and of relations between values.
pub trait Check {
    /// Returns all faults of a successfully deserialized value.
    fn faults(&self) -> Vec<Fault>;
}

impl Fault {
    /// Creates a fault at the JSON pointer `pointer`.
    ///
    /// ```
    /// use settings::{Fault, Reason};
    /// let fault = Fault::new("/pool", Reason::Empty);
    /// assert_eq!(fault.to_string(), "/pool: must not be empty");
    /// ```
    pub fn new(pointer: impl Into<String>, reason: Reason) -> Self {
        Self { pointer: pointer.into(), reason }
    }

    /// Returns a fault if `found` lies outside `range`; NaN always does.
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

    /// Prepends `prefix`, the pointer of the checked value within an enclosing
    /// one, to the fault's pointer.
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
