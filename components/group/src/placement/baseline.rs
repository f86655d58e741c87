//! Baseline placements to compare the planner with. Both ignore the current map
//! and place all experts from scratch.

use super::{Counts, Map, Replica};

/// Longest processing time first, without replicas: experts are assigned in
/// descending order of tokens, each to the least loaded rank with a free slot.
///
/// ```
/// use group::placement::{Counts, longest_first};
/// let mut counts = Counts::new(1, 4, std::time::Duration::from_secs(1));
/// counts.observe(std::time::Duration::ZERO, &[vec![4.0, 1.0, 3.0, 2.0]]);
/// let map = longest_first(&counts, 2);
/// assert_eq!(map.loads(0, &counts.layers[0]), vec![5.0, 5.0]);
/// ```
pub fn longest_first(counts: &Counts, ranks: u16) -> Map {
    let layers = counts
        .layers
        .iter()
        .map(|tokens| place_longest_first(tokens, &vec![1; tokens.len()], ranks));
    Map { ranks, layers: layers.collect() }
}

/// Full re-placement with `slots` slots per rank. Each spare slot goes to the
/// expert with the most tokens per replica; the replicas, with equal shares, are
/// then placed longest first.
pub fn replicated(counts: &Counts, ranks: u16, slots: usize) -> Map {
    let layer = |tokens: &Vec<f64>| {
        let mut copies = vec![1_usize; tokens.len()];
        for _ in tokens.len()..slots * usize::from(ranks) {
            let per_replica = |expert: &usize| tokens[*expert] / copies[*expert] as f64;
            let room = |expert: &usize| copies[*expert] < usize::from(ranks);
            let heaviest = (0..tokens.len())
                .filter(room)
                .max_by(|a, b| per_replica(a).total_cmp(&per_replica(b)));
            if let Some(expert) = heaviest {
                copies[expert] += 1;
            }
        }
        place_longest_first(tokens, &copies, ranks)
    };
    Map { ranks, layers: counts.layers.iter().map(layer).collect() }
}

fn place_longest_first(tokens: &[f64], copies: &[usize], ranks: u16) -> Vec<Vec<Replica>> {
    let room = copies.iter().sum::<usize>().div_ceil(usize::from(ranks));
    let mut loads = vec![(0.0_f64, 0_usize); usize::from(ranks)];
    let mut placed: Vec<Vec<Replica>> = vec![Vec::new(); tokens.len()];
    let per_replica = |expert: usize| tokens[expert] / copies[expert] as f64;
    let mut order: Vec<usize> = (0..tokens.len()).collect();
    order.sort_by(|a, b| per_replica(*b).total_cmp(&per_replica(*a)));
    for expert in order {
        for _ in 0..copies[expert] {
            let eligible = |rank: &u16| {
                let taken = placed[expert].iter().any(|replica| replica.rank == *rank);
                loads[usize::from(*rank)].1 < room && !taken
            };
            let load = |rank: u16| loads[usize::from(rank)].0;
            let least_loaded =
                (0..ranks).filter(eligible).min_by(|a, b| load(*a).total_cmp(&load(*b)));
            let Some(rank) = least_loaded else { continue };
            loads[usize::from(rank)].0 += per_replica(expert);
            loads[usize::from(rank)].1 += 1;
            placed[expert].push(Replica { rank, share: 1.0 });
        }
        let share = 1.0 / placed[expert].len().max(1) as f64;
        placed[expert].iter_mut().for_each(|replica| replica.share = share);
    }
    placed
}
