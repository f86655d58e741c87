//! Deterministic experiments whose rows the bench prints.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::placement::{Costs, Counts, Map, Planner, longest_first, replicated, skew};

const RANKS: u16 = 32;
const EXPERTS: u16 = 128;
const LAYERS: usize = 2;
/// Experts of a layer that a rank holds: four, and one spare.
const SLOTS: usize = 5;
/// Time between two plans, in seconds.
const INTERVAL: u64 = 28;
/// Half-life of the counts, in seconds.
const HALF_LIFE: u64 = 10;
/// Steps between two plans.
const STEPS: f64 = 1000.0;
/// Intervals in an hour of steps of 28 ms.
const INTERVALS: u64 = 128;
/// Exponent of the Zipf popularity.
const EXPONENT: f64 = 1.0;
/// Largest change of an expert's logarithm of popularity in an interval.
const DRIFT: f64 = 0.05;

/// How experts are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Shares, and the moves that pay.
    Planner,
    /// The first placement for ever.
    Never,
    /// Everything anew at each interval, with replicas.
    Full,
    /// Everything anew at each interval, longest first without replicas.
    LongestFirst,
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 4] =
        [Policy::Planner, Policy::Never, Policy::Full, Policy::LongestFirst];
}

/// The result of one policy under one seed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The policy.
    pub policy: Policy,
    /// The seed of the popularity.
    pub seed: u64,
    /// Mean over all steps of slowest rank over mean rank, less 1.
    pub skew: f64,
    /// Bytes moved an hour, in all layers.
    pub bytes: f64,
    /// Steps stalled an hour.
    pub stalled: f64,
}

/// The costs that the experiment takes: experts of 44 MB, a weight store that
/// gives 1 GB/s to moves, steps of 28 ms.
pub fn costs() -> Costs {
    Costs {
        expert: 44 << 20,
        rate: 1 << 30,
        step: Duration::from_millis(28),
        horizon: Duration::from_secs(300),
        interference: 1.0,
        stall: 1.0,
    }
}

/// An hour of drifting Zipf popularity under each policy: 32 ranks, 128
/// experts in each of two layers. A plan sees only intervals before its own.
pub fn placement(seed: u64) -> Vec<Row> {
    Policy::ALL.into_iter().map(|policy| run(policy, seed)).collect()
}

fn run(policy: Policy, seed: u64) -> Row {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut weights = popularity(&mut rng);
    let costs = costs();
    let mut planner = Planner::new(Duration::ZERO, SLOTS, 16 * costs.expert);
    let mut counts = Counts::new(LAYERS, usize::from(EXPERTS), Duration::from_secs(HALF_LIFE));
    counts.observe(Duration::ZERO, &weights);
    let mut map = first(policy, &counts);
    let mut row = Row { policy, seed, skew: 0.0, bytes: 0.0, stalled: 0.0 };
    for interval in 1..=INTERVALS {
        let now = Duration::from_secs(interval * INTERVAL);
        let next = match policy {
            Policy::Never => map.clone(),
            Policy::Full => replicated(&counts, RANKS, SLOTS),
            Policy::LongestFirst => longest_first(&counts, RANKS),
            Policy::Planner => planner.plan(now, &counts, &map, &costs).map,
        };
        charge(policy, &map, &next, &costs, &mut row);
        map = next;
        drift(&mut weights, &mut rng);
        let mut current = Counts::new(LAYERS, usize::from(EXPERTS), Duration::from_secs(1));
        current.observe(now, &weights);
        row.skew += skew(&map, &current) / INTERVALS as f64;
        counts.observe(now, &weights);
    }
    let hours = INTERVALS as f64 * STEPS * costs.step.as_secs_f64() / 3600.0;
    row.bytes /= hours;
    row.stalled /= hours;
    row
}

/// All policies start from a placement made for the first popularity.
fn first(policy: Policy, counts: &Counts) -> Map {
    match policy {
        Policy::LongestFirst => longest_first(counts, RANKS),
        _ => replicated(counts, RANKS, SLOTS),
    }
}

/// Each change of maps stalls a step. The planner loads into slots whose share
/// it has taken away before; who places everything anew loads in place, and
/// the group waits for the rank that loads most.
fn charge(policy: Policy, map: &Map, next: &Map, costs: &Costs, row: &mut Row) {
    if map == next {
        return;
    }
    let mut loaded = vec![0_u64; usize::from(RANKS)];
    for (old, new) in map.layers.iter().flatten().zip(next.layers.iter().flatten()) {
        for replica in new {
            if old.iter().all(|other| other.rank != replica.rank) {
                loaded[usize::from(replica.rank)] += costs.expert;
            }
        }
    }
    row.bytes += loaded.iter().sum::<u64>() as f64;
    row.stalled += costs.stall;
    if policy != Policy::Planner {
        let most = loaded.iter().max().copied().unwrap_or(0);
        row.stalled += (most as f64 / costs.rate as f64 / costs.step.as_secs_f64()).ceil();
    }
}

fn popularity(rng: &mut ChaCha8Rng) -> Vec<Vec<f64>> {
    let layer = |_| {
        let mut tokens: Vec<f64> =
            (1..=EXPERTS).map(|place| f64::from(place).powf(-EXPONENT)).collect();
        tokens.shuffle(rng);
        tokens
    };
    (0..LAYERS).map(layer).collect()
}

fn drift(weights: &mut [Vec<f64>], rng: &mut ChaCha8Rng) {
    for tokens in weights.iter_mut() {
        for weight in tokens.iter_mut() {
            *weight *= rng.random_range(-DRIFT..DRIFT).exp();
        }
        let sum: f64 = tokens.iter().sum();
        tokens.iter_mut().for_each(|weight| *weight /= sum);
    }
}
