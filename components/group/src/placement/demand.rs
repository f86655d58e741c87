//! Estimates the demand for each expert of a group from the counts that its
//! ranks report.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A window whose distance from the demand so far exceeds the typical distance
/// by this factor counts as a shift: earlier readings are discarded.
const SHIFT_FACTOR: f64 = 3.0;

/// Lower bound of the typical distance, since random variation remains even
/// when the demand does not change.
const TYPICAL_DISTANCE_MIN: f64 = 0.03;

/// Weight of the newest distance in the moving average.
const TYPICAL_DISTANCE_WEIGHT: f64 = 0.2;

/// How often the requests of one rank were routed to each expert of each set of
/// layers, quantized to one byte per expert for transmission.
///
/// ```
/// let reading = group::placement::demand::Reading::new(&[vec![1000, 20, 0]]);
/// assert_eq!(reading.choices().next().unwrap().collect::<Vec<_>>(), [1000.0, 20.0, 0.0]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// Number of choices that one unit represents.
    unit: u32,
    /// Units by set of layers, then expert.
    sets: Vec<Vec<u8>>,
}

impl Reading {
    /// Quantizes exact counts, given by set of layers, then expert.
    pub fn new(choices: &[Vec<u32>]) -> Reading {
        let most = choices.iter().flatten().copied().max().unwrap_or(0);
        let unit = most.div_ceil(u32::from(u8::MAX)).max(1);
        // Rounded to the nearest unit and limited to one byte.
        let units = |count: &u32| ((count + unit / 2) / unit).min(u32::from(u8::MAX)) as u8;
        let sets = choices.iter().map(|set| set.iter().map(units).collect());
        Reading { unit, sets: sets.collect() }
    }

    /// Approximate counts by set of layers, then expert.
    pub fn choices(&self) -> impl Iterator<Item = impl Iterator<Item = f64>> {
        let unit = f64::from(self.unit);
        self.sets.iter().map(move |set| set.iter().map(move |units| f64::from(*units) * unit))
    }
}

/// Estimated tokens by set of layers and expert. The weight of readings decays
/// exponentially; a shift of the demand discards all earlier readings.
///
/// ```
/// use std::time::Duration;
/// use group::placement::demand::{Demand, Reading};
/// let mut demand = Demand::new(1, 2, Duration::from_millis(500), Duration::from_millis(200));
/// for tenth in 0..20 {
///     demand.observe(Duration::from_millis(100 * tenth), &Reading::new(&[vec![90, 10]]));
/// }
/// assert!(demand.tokens()[0][0] > 5.0 * demand.tokens()[0][1]);
/// for tenth in 20..24 {
///     demand.observe(Duration::from_millis(100 * tenth), &Reading::new(&[vec![10, 90]]));
/// }
/// assert!(demand.tokens()[0][1] > demand.tokens()[0][0]);
/// ```
#[derive(Clone, Debug)]
pub struct Demand {
    half_life: Duration,
    window: Duration,
    tokens: Vec<Vec<f64>>,
    window_tokens: Vec<Vec<f64>>,
    window_start: Duration,
    decayed_at: Duration,
    typical_distance: Option<f64>,
}

impl Demand {
    /// Creates an empty estimate. Within `window`, each sampled rank reports its
    /// choices once.
    pub fn new(sets: usize, experts: usize, half_life: Duration, window: Duration) -> Demand {
        let none = vec![vec![0.0; experts]; sets];
        Demand {
            half_life,
            window,
            tokens: none.clone(),
            window_tokens: none,
            window_start: Duration::ZERO,
            decayed_at: Duration::ZERO,
            typical_distance: None,
        }
    }

    /// Adds the choices of one rank since its previous reading. Returns whether
    /// this call closed a window and so updated the estimate.
    pub fn observe(&mut self, now: Duration, reading: &Reading) -> bool {
        let closed = now >= self.window_start + self.window;
        if closed {
            self.close_window(now);
        }
        for (known, more) in self.window_tokens.iter_mut().zip(reading.choices()) {
            for (known, more) in known.iter_mut().zip(more) {
                *known += more;
            }
        }
        closed
    }

    /// Merges the readings of the finished window into the estimate.
    fn close_window(&mut self, now: Duration) {
        self.decay(now);
        self.window_start = now;
        let distance = distance(&self.tokens, &self.window_tokens);
        let typical = self.typical_distance.map(|typical| typical.max(TYPICAL_DISTANCE_MIN));
        let shifted = distance
            .zip(typical)
            .is_some_and(|(distance, typical)| distance > SHIFT_FACTOR * typical);
        if shifted {
            self.tokens.iter_mut().flatten().for_each(|tokens| *tokens = 0.0);
        } else if let Some(distance) = distance {
            let typical = self.typical_distance.unwrap_or(distance);
            self.typical_distance = Some(typical + TYPICAL_DISTANCE_WEIGHT * (distance - typical));
        }
        for (known, more) in
            self.tokens.iter_mut().flatten().zip(self.window_tokens.iter_mut().flatten())
        {
            *known += std::mem::take(more);
        }
    }

    /// Applies the exponential decay up to `now`.
    pub fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        self.decayed_at = self.decayed_at.max(now);
        let factor = 0.5_f64.powf(elapsed / self.half_life.as_secs_f64());
        self.tokens.iter_mut().flatten().for_each(|tokens| *tokens *= factor);
    }

    /// Tokens by set of layers, then expert, of all closed windows.
    pub fn tokens(&self) -> &[Vec<f64>] {
        &self.tokens
    }

    /// Mean number of tokens per set of layers.
    pub fn mean_tokens(&self) -> f64 {
        self.tokens.iter().flatten().sum::<f64>() / self.tokens.len().max(1) as f64
    }
}

/// Total variation distance of two demands, from 0 to 1, averaged over the sets
/// of layers: the share of tokens that would have to move to other experts.
/// `None` if a set is empty in either demand.
fn distance(one: &[Vec<f64>], other: &[Vec<f64>]) -> Option<f64> {
    let mut sum = 0.0;
    for (one, other) in one.iter().zip(other) {
        let (all, others) = (one.iter().sum::<f64>(), other.iter().sum::<f64>());
        if all <= 0.0 || others <= 0.0 {
            return None;
        }
        let moved = one.iter().zip(other).map(|(one, other)| (one / all - other / others).abs());
        sum += moved.sum::<f64>() / 2.0;
    }
    Some(sum / one.len().max(1) as f64)
}
