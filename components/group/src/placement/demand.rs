//! Which experts the requests of a group choose, from readings of its ranks.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Distance of a reading from the demand so far, as a multiple of the usual
/// one, from which on other experts are in demand and old readings mislead.
const TURN: f64 = 3.0;

/// Least distance that counts as usual: readings are never exactly alike.
const USUAL_MIN: f64 = 0.03;

/// Share of the newest distance in the usual one.
const USUAL_WEIGHT: f64 = 0.2;

/// How often the requests of one rank chose each expert of each set, rounded so
/// that a choice takes one byte on the way.
///
/// ```
/// let reading = group::placement::demand::Reading::new(&[vec![1000, 20, 0]]);
/// assert_eq!(reading.choices().next().unwrap().collect::<Vec<_>>(), [1000.0, 20.0, 0.0]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// Choices for which one unit stands.
    unit: u32,
    /// Units by set and expert.
    sets: Vec<Vec<u8>>,
}

impl Reading {
    /// A reading of exact choices.
    pub fn new(choices: &[Vec<u32>]) -> Reading {
        let most = choices.iter().flatten().copied().max().unwrap_or(0);
        let unit = most.div_ceil(u32::from(u8::MAX)).max(1);
        // Rounded to the nearest unit, and never beyond the largest byte.
        let units = |count: &u32| ((count + unit / 2) / unit).min(u32::from(u8::MAX)) as u8;
        let sets = choices.iter().map(|set| set.iter().map(units).collect());
        Reading { unit, sets: sets.collect() }
    }

    /// Choices by set and expert.
    pub fn choices(&self) -> impl Iterator<Item = impl Iterator<Item = f64>> {
        let unit = f64::from(self.unit);
        self.sets.iter().map(move |set| set.iter().map(move |units| f64::from(*units) * unit))
    }
}

/// Tokens by set of layers and expert. Readings lose half their weight in a
/// half-life, and all of it once the demand turns.
///
/// ```
/// use std::time::Duration;
/// use group::placement::demand::{Demand, Reading};
/// let mut demand = Demand::new(1, 2, Duration::from_millis(500), Duration::from_millis(200));
/// for tenth in 0..20 {
///     demand.note(Duration::from_millis(100 * tenth), &Reading::new(&[vec![90, 10]]));
/// }
/// assert!(demand.tokens()[0][0] > 5.0 * demand.tokens()[0][1]);
/// for tenth in 20..24 {
///     demand.note(Duration::from_millis(100 * tenth), &Reading::new(&[vec![10, 90]]));
/// }
/// assert!(demand.tokens()[0][1] > demand.tokens()[0][0]);
/// ```
#[derive(Clone, Debug)]
pub struct Demand {
    half_life: Duration,
    window: Duration,
    tokens: Vec<Vec<f64>>,
    latest: Vec<Vec<f64>>,
    begun: Duration,
    aged: Duration,
    usual: Option<f64>,
}

impl Demand {
    /// No demand so far. `window` is the time in which each rank that is read
    /// tells its choices once.
    pub fn new(sets: usize, experts: usize, half_life: Duration, window: Duration) -> Demand {
        let none = vec![vec![0.0; experts]; sets];
        Demand {
            half_life,
            window,
            tokens: none.clone(),
            latest: none,
            begun: Duration::ZERO,
            aged: Duration::ZERO,
            usual: None,
        }
    }

    /// Takes in the choices of one rank since its reading before. Returns
    /// whether a window is over, so that the demand is known anew.
    pub fn note(&mut self, now: Duration, reading: &Reading) -> bool {
        let over = now >= self.begun + self.window;
        if over {
            self.close_window(now);
        }
        for (known, more) in self.latest.iter_mut().zip(reading.choices()) {
            for (known, more) in known.iter_mut().zip(more) {
                *known += more;
            }
        }
        over
    }

    /// Adds the readings of the window that is over to the demand.
    fn close_window(&mut self, now: Duration) {
        self.age(now);
        self.begun = now;
        let distance = distance(&self.tokens, &self.latest);
        let usual = self.usual.map(|usual| usual.max(USUAL_MIN));
        let turned = distance.zip(usual).is_some_and(|(distance, usual)| distance > TURN * usual);
        if turned {
            self.tokens.iter_mut().flatten().for_each(|tokens| *tokens = 0.0);
        } else if let Some(distance) = distance {
            let usual = self.usual.unwrap_or(distance);
            self.usual = Some(usual + USUAL_WEIGHT * (distance - usual));
        }
        for (known, more) in self.tokens.iter_mut().flatten().zip(self.latest.iter_mut().flatten())
        {
            *known += std::mem::take(more);
        }
    }

    /// Takes off the weight that readings have lost until now.
    pub fn age(&mut self, now: Duration) {
        let age = now.saturating_sub(self.aged).as_secs_f64();
        self.aged = self.aged.max(now);
        let factor = 0.5_f64.powf(age / self.half_life.as_secs_f64());
        self.tokens.iter_mut().flatten().for_each(|tokens| *tokens *= factor);
    }

    /// Tokens by set of layers and expert, of all windows that are over.
    pub fn tokens(&self) -> &[Vec<f64>] {
        &self.tokens
    }

    /// Tokens of a set of layers, on average.
    pub fn weight(&self) -> f64 {
        self.tokens.iter().flatten().sum::<f64>() / self.tokens.len().max(1) as f64
    }
}

/// The part of the tokens that would have to go to other experts to turn one
/// demand into the other, from 0 to 1; nothing if one of them is empty.
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
