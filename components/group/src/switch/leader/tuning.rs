//! What a leader is told: the model, and how eagerly maps change.

use std::time::Duration;

use crate::placement::even::Bounds;

/// How eagerly maps are changed.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Time over which demand loses half its weight.
    pub half_life: Duration,
    /// Time in which each rank that is read tells its choices once.
    pub window: Duration,
    /// Least time between the ends of two changes.
    pub pause: Duration,
    /// Least fall of the skew for which a change is made, while passes are
    /// short and while they are not.
    pub least_gain: (f64, f64),
    /// Least improvement for which a single expert is copied, in both cases.
    pub step_gain: (f64, f64),
    /// Time that it takes to arm a group of one rank, before any was seen.
    pub arming: Duration,
    /// What each further rank adds to it.
    pub arming_per_rank: Duration,
    /// Tokens without which nothing is planned.
    pub least_tokens: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            half_life: Duration::from_millis(500),
            window: Duration::from_millis(200),
            pause: Duration::from_millis(100),
            least_gain: (0.3, 0.15),
            step_gain: (0.08, 0.03),
            arming: Duration::from_millis(180),
            arming_per_rank: Duration::from_millis(2),
            least_tokens: 2000.0,
        }
    }
}

/// The model that the group serves, as far as maps are concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    /// Sets of layers.
    pub sets: usize,
    /// Experts of a set.
    pub experts: usize,
    /// What a change may do.
    pub bounds: Bounds,
    /// Time in which a rank copies one expert.
    pub copy: Duration,
    /// Pause between events that callers accept. Passes of more than half of it
    /// count as long.
    pub pause: Duration,
}
