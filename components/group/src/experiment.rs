//! Deterministic experiments on expert placement. The bench prints their rows.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::placement::{Costs, Counts, Map, Planner, longest_first, replicated, skew};

const RANKS: u16 = 32;
const EXPERTS: u16 = 128;
const LAYERS: usize = 2;
/// Slots of a rank for the experts of a layer: four experts and one spare.
const SLOTS: usize = 5;
/// Time between two plans, in seconds.
const PLAN_INTERVAL_S: u64 = 28;
/// Half-life of the token counts, in seconds.
const HALF_LIFE_S: u64 = 10;
/// Steps between two plans.
const STEPS_PER_INTERVAL: f64 = 1000.0;
/// Plan intervals in an hour, at 1000 steps of 28 ms each.
const INTERVALS: u64 = 128;
/// Exponent of the Zipf distribution of expert popularity.
const ZIPF_EXPONENT: f64 = 1.0;
/// Largest change of the logarithm of an expert's popularity per interval.
const MAX_DRIFT: f64 = 0.05;

/// A policy for placing experts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Adjust the shares of replicas, and move those whose gain exceeds the cost.
    Planner,
    /// Keep the initial placement.
    Never,
    /// Recompute the whole placement at each interval, with replicas.
    Full,
    /// Recompute the whole placement at each interval, longest first, without
    /// replicas.
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
    /// The seed of the expert popularity.
    pub seed: u64,
    /// Load of the most loaded rank divided by the mean load, less 1; averaged
    /// over all steps.
    pub skew: f64,
    /// Bytes moved per hour, over all layers.
    pub bytes: f64,
    /// Stalled steps per hour.
    pub stalled: f64,
}

/// The costs used in the experiment: experts of 44 MB, 1 GB/s from the weight
/// store for moves, steps of 28 ms.
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

/// Simulates an hour of drifting Zipf popularity under each policy, with 32 ranks
/// and two layers of 128 experts. A plan uses only the counts of earlier
/// intervals.
pub fn placement(seed: u64) -> Vec<Row> {
    Policy::ALL.into_iter().map(|policy| run(policy, seed)).collect()
}

fn run(policy: Policy, seed: u64) -> Row {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut weights = popularity(&mut rng);
    let costs = costs();
    let mut planner = Planner::new(Duration::ZERO, SLOTS, 16 * costs.expert);
    let mut counts = Counts::new(LAYERS, usize::from(EXPERTS), Duration::from_secs(HALF_LIFE_S));
    counts.observe(Duration::ZERO, &weights);
    let mut map = initial_map(policy, &counts);
    let mut row = Row { policy, seed, skew: 0.0, bytes: 0.0, stalled: 0.0 };
    for interval in 1..=INTERVALS {
        let now = Duration::from_secs(interval * PLAN_INTERVAL_S);
        let next = match policy {
            Policy::Never => map.clone(),
            Policy::Full => replicated(&counts, RANKS, SLOTS),
            Policy::LongestFirst => longest_first(&counts, RANKS),
            Policy::Planner => planner.plan(now, &counts, &map, &costs).map,
        };
        add_cost(policy, &map, &next, &costs, &mut row);
        map = next;
        drift(&mut weights, &mut rng);
        let mut current = Counts::new(LAYERS, usize::from(EXPERTS), Duration::from_secs(1));
        current.observe(now, &weights);
        row.skew += skew(&map, &current) / INTERVALS as f64;
        counts.observe(now, &weights);
    }
    let hours = INTERVALS as f64 * STEPS_PER_INTERVAL * costs.step.as_secs_f64() / 3600.0;
    row.bytes /= hours;
    row.stalled /= hours;
    row
}

/// The initial placement, which fits the initial popularity.
fn initial_map(policy: Policy, counts: &Counts) -> Map {
    match policy {
        Policy::LongestFirst => longest_first(counts, RANKS),
        _ => replicated(counts, RANKS, SLOTS),
    }
}

/// Adds the cost of a change of maps to `row`. Each change stalls a step. The
/// planner loads experts into slots whose share it has reduced to zero before.
/// The other policies load in place, so the group waits for the rank that loads
/// the most.
fn add_cost(policy: Policy, map: &Map, next: &Map, costs: &Costs, row: &mut Row) {
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
            (1..=EXPERTS).map(|position| f64::from(position).powf(-ZIPF_EXPONENT)).collect();
        tokens.shuffle(rng);
        tokens
    };
    (0..LAYERS).map(layer).collect()
}

fn drift(weights: &mut [Vec<f64>], rng: &mut ChaCha8Rng) {
    for tokens in weights.iter_mut() {
        for weight in tokens.iter_mut() {
            *weight *= rng.random_range(-MAX_DRIFT..MAX_DRIFT).exp();
        }
        let sum: f64 = tokens.iter().sum();
        tokens.iter_mut().for_each(|weight| *weight /= sum);
    }
}
