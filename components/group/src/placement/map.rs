//! Token counts by expert and placement maps.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Decayed token counts by layer and expert.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    half_life: Duration,
    updated: Duration,
    /// Tokens by layer, then expert.
    pub layers: Vec<Vec<f64>>,
}

impl Counts {
    /// Creates counts of zero. Observed tokens lose half their weight in each
    /// `half_life`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut counts = group::placement::Counts::new(1, 2, Duration::from_secs(10));
    /// counts.observe(Duration::ZERO, &[vec![8.0, 0.0]]);
    /// counts.observe(Duration::from_secs(10), &[vec![0.0, 4.0]]);
    /// assert_eq!(counts.layers[0], vec![4.0, 4.0]);
    /// ```
    pub fn new(layers: usize, experts: usize, half_life: Duration) -> Counts {
        let layers = vec![vec![0.0; experts]; layers];
        Counts { half_life, updated: Duration::ZERO, layers }
    }

    /// Decays the counts and adds the tokens since the last call, by layer, then
    /// expert.
    pub fn observe(&mut self, now: Duration, tokens: &[Vec<f64>]) {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let factor = 0.5_f64.powf(age / self.half_life.as_secs_f64());
        self.updated = now;
        for (counts, tokens) in self.layers.iter_mut().zip(tokens) {
            for (count, tokens) in counts.iter_mut().zip(tokens) {
                *count = *count * factor + tokens;
            }
        }
    }
}

/// One replica of an expert.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// The rank that holds the replica.
    pub rank: u16,
    /// Share of the expert's tokens; the shares of an expert sum to 1.
    pub share: f64,
}

/// A placement map: the replicas by layer and expert.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Map {
    /// Number of ranks.
    pub ranks: u16,
    /// Replicas by layer, then expert. Each expert has at least one.
    pub layers: Vec<Vec<Vec<Replica>>>,
}

impl Map {
    /// Assigns experts to ranks round robin, one replica each.
    ///
    /// ```
    /// let map = group::placement::Map::round_robin(2, 1, 4);
    /// assert_eq!(map.layers[0][3][0].rank, 1);
    /// ```
    pub fn round_robin(ranks: u16, layers: usize, experts: u16) -> Map {
        let expert = |index: u16| vec![Replica { rank: index % ranks, share: 1.0 }];
        Map { ranks, layers: vec![(0..experts).map(expert).collect(); layers] }
    }

    /// Tokens of each rank in a layer.
    pub fn loads(&self, layer: usize, tokens: &[f64]) -> Vec<f64> {
        let mut loads = vec![0.0; usize::from(self.ranks)];
        for (replicas, tokens) in self.layers[layer].iter().zip(tokens) {
            for replica in replicas {
                loads[usize::from(replica.rank)] += tokens * replica.share;
            }
        }
        loads
    }

    /// Number of experts that each rank holds in a layer.
    pub fn held(&self, layer: usize) -> Vec<usize> {
        let mut held = vec![0; usize::from(self.ranks)];
        for replica in self.layers[layer].iter().flatten() {
            held[usize::from(replica.rank)] += 1;
        }
        held
    }
}

/// Load of the slowest rank, summed over layers, divided by the mean load,
/// minus 1. Layers run one after the other, so their maxima add up.
///
/// ```
/// use group::placement::{Counts, Map, skew};
/// let mut counts = Counts::new(1, 2, std::time::Duration::from_secs(1));
/// counts.observe(std::time::Duration::ZERO, &[vec![3.0, 1.0]]);
/// assert_eq!(skew(&Map::round_robin(2, 1, 2), &counts), 0.5);
/// ```
pub fn skew(map: &Map, counts: &Counts) -> f64 {
    let mut slowest = 0.0;
    let mut mean = 0.0;
    for (layer, tokens) in counts.layers.iter().enumerate() {
        slowest += map.loads(layer, tokens).into_iter().fold(0.0, f64::max);
        mean += tokens.iter().sum::<f64>() / f64::from(map.ranks);
    }
    if mean == 0.0 { 0.0 } else { slowest / mean - 1.0 }
}
