//! Planner that first adjusts shares, then adds the few moves whose benefit
//! exceeds their cost.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Counts, Map, Replica};

/// Upper limit of passes over the replicated experts until their shares converge.
const MAX_BALANCE_PASSES: usize = 30;
/// Number of least loaded ranks that are considered as the target of a move.
const MAX_TARGETS: usize = 8;
/// Loads that differ by less than this fraction of the mean count as equal.
const TOLERANCE: f64 = 0.002;

/// Cost of moves and duration of a balanced step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Costs {
    /// Size of one expert of one layer, in bytes.
    pub expert: u64,
    /// Bandwidth of the weight store for moves, in bytes per second.
    pub rate: u64,
    /// Duration of a step when all ranks are equally loaded.
    pub step: Duration,
    /// Time over which the token distribution is assumed to stay stable.
    pub horizon: Duration,
    /// Service time lost per second of loading, in seconds.
    pub interference: f64,
    /// Number of steps that a change of maps stalls.
    pub stall: f64,
}

/// Loading of an expert onto a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The layer.
    pub layer: usize,
    /// The expert.
    pub expert: usize,
    /// The rank that loads it.
    pub to: u16,
}

/// A new map and the moves that it requires.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The moves; empty if only shares change.
    pub moves: Vec<Move>,
    /// The map after the moves.
    pub map: Map,
}

/// Planner whose byte budget for moves is a token bucket, refilled at the rate of
/// the weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Planner {
    slots: usize,
    budget: f64,
    limit: f64,
    updated: Duration,
}

impl Planner {
    /// Creates a planner for ranks that hold up to `slots` experts of each layer.
    /// `limit` is the largest burst of the weight store, in bytes: the capacity of
    /// the byte budget, which starts full.
    ///
    /// ```
    /// let planner = group::placement::Planner::new(std::time::Duration::ZERO, 5, 1 << 30);
    /// ```
    pub fn new(now: Duration, slots: usize, limit: u64) -> Planner {
        Planner { slots, budget: limit as f64, limit: limit as f64, updated: now }
    }

    /// Computes the next map. A move is included only if the step time that it
    /// saves over the horizon exceeds the cost of loading and of the stall.
    pub fn plan(&mut self, now: Duration, counts: &Counts, map: &Map, costs: &Costs) -> Plan {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.budget = self.limit.min(self.budget + age * costs.rate as f64);
        self.updated = now;
        let mut plan = Plan { moves: Vec::new(), map: map.clone() };
        for (layer, tokens) in counts.layers.iter().enumerate() {
            if tokens.iter().sum::<f64>() > 0.0 {
                self.plan_layer(layer, tokens, costs, counts.layers.len(), &mut plan);
            }
        }
        plan
    }

    fn plan_layer(
        &mut self,
        layer: usize,
        tokens: &[f64],
        costs: &Costs,
        layers: usize,
        plan: &mut Plan,
    ) {
        let mean = tokens.iter().sum::<f64>() / f64::from(plan.map.ranks);
        let steps = costs.horizon.as_secs_f64() / costs.step.as_secs_f64();
        let share = costs.step.as_secs_f64() / layers as f64;
        let loading = costs.expert as f64 / costs.rate as f64 * costs.interference;
        let cost = loading + costs.stall * costs.step.as_secs_f64();
        balance(&mut plan.map, layer, tokens, mean);
        while self.budget >= costs.expert as f64 {
            let before = slowest(&plan.map, layer, tokens);
            let Some((next, change)) = best_replica(&plan.map, layer, tokens, mean, self.slots)
            else {
                return;
            };
            let saved = (before - slowest(&next, layer, tokens)) / mean * share * steps;
            if saved <= cost {
                return;
            }
            plan.map = next;
            plan.moves.push(change);
            self.budget -= costs.expert as f64;
        }
    }
}

fn slowest(map: &Map, layer: usize, tokens: &[f64]) -> f64 {
    map.loads(layer, tokens).into_iter().fold(0.0, f64::max)
}

/// Finds the additional replica of one of the busiest rank's experts, on one of
/// the least loaded ranks, that lowers the maximum load most.
fn best_replica(
    map: &Map,
    layer: usize,
    tokens: &[f64],
    mean: f64,
    slots: usize,
) -> Option<(Map, Move)> {
    let loads = map.loads(layer, tokens);
    let order = |a: &usize, b: &usize| loads[*a].total_cmp(&loads[*b]);
    let busiest = (0..loads.len()).max_by(order)?;
    if loads[busiest] < mean * (1.0 + TOLERANCE) {
        return None;
    }
    let mut ranks: Vec<usize> = (0..loads.len()).collect();
    ranks.sort_by(order);
    let mut chosen: Option<(f64, Map, Move)> = None;
    for rank in ranks.into_iter().take(MAX_TARGETS) {
        let mut base = map.clone();
        if base.held(layer)[rank] >= slots && !evict(&mut base, layer, tokens, rank) {
            continue;
        }
        for expert in replicable_experts(map, layer, busiest, rank) {
            let mut next = base.clone();
            let change = Move { layer, expert, to: rank as u16 };
            next.layers[layer][expert].push(Replica { rank: change.to, share: 0.0 });
            balance(&mut next, layer, tokens, mean);
            let load = slowest(&next, layer, tokens);
            if chosen.as_ref().is_none_or(|(least, ..)| load < *least) {
                chosen = Some((load, next, change));
            }
        }
    }
    chosen.map(|(_, next, change)| (next, change))
}

/// The experts that `from` holds and `to` does not.
fn replicable_experts(map: &Map, layer: usize, from: usize, to: usize) -> Vec<usize> {
    let on = |expert: &usize, rank: usize| {
        map.layers[layer][*expert].iter().any(|replica| usize::from(replica.rank) == rank)
    };
    (0..map.layers[layer].len()).filter(|e| on(e, from) && !on(e, to)).collect()
}

/// Removes the rank's replica with the least load, except the last replica of an
/// expert, and rescales the remaining shares. Returns whether one was removed.
fn evict(map: &mut Map, layer: usize, tokens: &[f64], rank: usize) -> bool {
    let mut least: Option<(f64, usize)> = None;
    for (expert, replicas) in map.layers[layer].iter().enumerate() {
        let Some(replica) = replicas.iter().find(|r| usize::from(r.rank) == rank) else {
            continue;
        };
        let load = replica.share * tokens[expert];
        if replicas.len() > 1 && least.is_none_or(|(other, _)| load < other) {
            least = Some((load, expert));
        }
    }
    let Some((_, expert)) = least else { return false };
    let replicas = &mut map.layers[layer][expert];
    replicas.retain(|replica| usize::from(replica.rank) != rank);
    let sum: f64 = replicas.iter().map(|replica| replica.share).sum();
    let even = 1.0 / replicas.len() as f64;
    for replica in replicas {
        replica.share = if sum > 0.0 { replica.share / sum } else { even };
    }
    true
}

/// Equalizes the load of the ranks by adjusting the shares of the replicated
/// experts, one expert at a time, until the shares converge.
fn balance(map: &mut Map, layer: usize, tokens: &[f64], mean: f64) {
    let mut loads = map.loads(layer, tokens);
    for _ in 0..MAX_BALANCE_PASSES {
        let mut moved = 0.0;
        for (replicas, tokens) in map.layers[layer].iter_mut().zip(tokens) {
            if replicas.len() > 1 && *tokens > 0.0 {
                moved += water_fill(replicas, *tokens, &mut loads);
            }
        }
        if moved < mean * TOLERANCE * 0.1 {
            return;
        }
    }
}

/// Distributes one expert's tokens over its ranks by water-filling: the least
/// loaded ranks are raised to a common load. Returns the sum of the changes in
/// tokens over these ranks.
fn water_fill(replicas: &mut [Replica], tokens: f64, loads: &mut [f64]) -> f64 {
    for replica in replicas.iter() {
        loads[usize::from(replica.rank)] -= replica.share * tokens;
    }
    replicas.sort_by(|a, b| {
        loads[usize::from(a.rank)].total_cmp(&loads[usize::from(b.rank)]).then(a.rank.cmp(&b.rank))
    });
    let mut level = 0.0;
    let mut sum = tokens;
    for (index, replica) in replicas.iter().enumerate() {
        let load = loads[usize::from(replica.rank)];
        if index > 0 && load >= level {
            break;
        }
        sum += load;
        level = sum / (index + 1) as f64;
    }
    let mut moved = 0.0;
    for replica in replicas {
        let load = &mut loads[usize::from(replica.rank)];
        let part = (level - *load).max(0.0);
        moved += (part - replica.share * tokens).abs();
        replica.share = part / tokens;
        *load += part;
    }
    moved
}
