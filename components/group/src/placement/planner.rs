//! The planner: shares first, then few moves that pay for themselves.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Counts, Map, Replica};

/// Passes over the replicated experts that settle the shares.
const PASSES: usize = 30;
/// Idle ranks that are tried for each move.
const TARGETS: usize = 8;
/// Loads closer than this part of the mean count as equal.
const TOLERANCE: f64 = 0.002;

/// What moves cost and what a balanced step is worth.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Costs {
    /// Size of one expert of one layer, in bytes.
    pub expert: u64,
    /// Bytes a second that the weight store gives to moves.
    pub rate: u64,
    /// Time of a step whose ranks are all equally loaded.
    pub step: Duration,
    /// Time for which the popularity is taken to stay about the same.
    pub horizon: Duration,
    /// Service time that a second of loading costs, in seconds.
    pub interference: f64,
    /// Steps that a change of maps stalls.
    pub stall: f64,
}

/// Loads an expert onto a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The layer.
    pub layer: usize,
    /// The expert.
    pub expert: usize,
    /// The rank that loads it.
    pub to: u16,
}

/// A new map and the moves that lead to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The moves. Empty when only shares change.
    pub moves: Vec<Move>,
    /// The map afterwards.
    pub map: Map,
}

/// Plans with a byte budget that refills at the rate of the weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Planner {
    slots: usize,
    budget: f64,
    limit: f64,
    updated: Duration,
}

impl Planner {
    /// A planner for ranks that hold `slots` experts of each layer and a
    /// weight store that takes bursts of at most `limit` bytes.
    ///
    /// ```
    /// let planner = group::placement::Planner::new(std::time::Duration::ZERO, 5, 1 << 30);
    /// ```
    pub fn new(now: Duration, slots: usize, limit: u64) -> Planner {
        Planner { slots, budget: limit as f64, limit: limit as f64, updated: now }
    }

    /// The next map, with moves only where the step time that they save over
    /// the horizon pays for the loading and the stall.
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
        let price = loading + costs.stall * costs.step.as_secs_f64();
        balance(&mut plan.map, layer, tokens, mean);
        while self.budget >= costs.expert as f64 {
            let before = slowest(&plan.map, layer, tokens);
            let Some((next, change)) = best(&plan.map, layer, tokens, mean, self.slots) else {
                return;
            };
            let saved = (before - slowest(&next, layer, tokens)) / mean * share * steps;
            if saved <= price {
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

/// The best replica of one of the busiest rank's experts on an idle rank.
fn best(map: &Map, layer: usize, tokens: &[f64], mean: f64, slots: usize) -> Option<(Map, Move)> {
    let loads = map.loads(layer, tokens);
    let order = |a: &usize, b: &usize| loads[*a].total_cmp(&loads[*b]);
    let busiest = (0..loads.len()).max_by(order)?;
    if loads[busiest] < mean * (1.0 + TOLERANCE) {
        return None;
    }
    let mut ranks: Vec<usize> = (0..loads.len()).collect();
    ranks.sort_by(order);
    let mut chosen: Option<(f64, Map, Move)> = None;
    for rank in ranks.into_iter().take(TARGETS) {
        let mut free = map.clone();
        if free.held(layer)[rank] >= slots && !evict(&mut free, layer, tokens, rank) {
            continue;
        }
        for expert in experts(map, layer, busiest, rank) {
            let mut next = free.clone();
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
fn experts(map: &Map, layer: usize, from: usize, to: usize) -> Vec<usize> {
    let on = |expert: &usize, rank: usize| {
        map.layers[layer][*expert].iter().any(|replica| usize::from(replica.rank) == rank)
    };
    (0..map.layers[layer].len()).filter(|e| on(e, from) && !on(e, to)).collect()
}

/// Drops the rank's replica that carries least and is not the expert's last.
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

/// Sets the shares of the replicated experts so that ranks are level: each in
/// turn fills the idlest of its ranks, until nothing moves.
fn balance(map: &mut Map, layer: usize, tokens: &[f64], mean: f64) {
    let mut loads = map.loads(layer, tokens);
    for _ in 0..PASSES {
        let mut moved = 0.0;
        for (replicas, tokens) in map.layers[layer].iter_mut().zip(tokens) {
            if replicas.len() > 1 && *tokens > 0.0 {
                moved += fill(replicas, *tokens, &mut loads);
            }
        }
        if moved < mean * TOLERANCE * 0.1 {
            return;
        }
    }
}

/// Spreads one expert's tokens over its ranks to the same level of load.
/// Returns the tokens that changed ranks.
fn fill(replicas: &mut [Replica], tokens: f64, loads: &mut [f64]) -> f64 {
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
