//! Parameters of a leader: the model and the thresholds for a change of maps.

use std::time::Duration;

use crate::placement::even::Bounds;

/// Thresholds and time constants for a change of maps.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Half-life of the weight of demand readings.
    pub half_life: Duration,
    /// Time within which each sampled rank reports its choices once.
    pub window: Duration,
    /// Minimum time between the end of one change and the plan of the next.
    pub min_change_interval: Duration,
    /// Minimum reduction of the skew that justifies a change, for short and for
    /// long passes; see [`Model::pause`].
    pub min_skew_gain: (f64, f64),
    /// Minimum gain that justifies the copy of a single expert, for short and for
    /// long passes; see [`Bounds::gain`].
    pub min_step_gain: (f64, f64),
    /// Assumed time to arm a group until one was measured, without the part that
    /// depends on the number of ranks.
    pub base_arming_time: Duration,
    /// Additional time to arm each rank.
    pub arming_time_per_rank: Duration,
    /// Minimum mean number of tokens per set of layers for a plan.
    pub min_tokens: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            half_life: Duration::from_millis(500),
            window: Duration::from_millis(200),
            min_change_interval: Duration::from_millis(100),
            min_skew_gain: (0.3, 0.15),
            min_step_gain: (0.08, 0.03),
            base_arming_time: Duration::from_millis(180),
            arming_time_per_rank: Duration::from_millis(2),
            min_tokens: 2000.0,
        }
    }
}

/// Properties of the served model that matter for maps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    /// Number of sets of layers.
    pub sets: usize,
    /// Number of experts in a set.
    pub experts: usize,
    /// Limits of a change.
    pub bounds: Bounds,
    /// Time that a rank takes to copy one expert.
    pub copy: Duration,
    /// Pause between two events that callers accept. Passes that last at least
    /// half of it count as long.
    pub pause: Duration,
}
