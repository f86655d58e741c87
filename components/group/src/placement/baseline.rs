//! Plain placements to compare the planner with. Both place everything anew.

use super::{Counts, Map, Replica};

/// Longest first without replicas: each expert, by falling popularity, goes to
/// the idlest rank that still has room.
///
/// ```
/// use group::placement::{Counts, longest_first};
/// let mut counts = Counts::new(1, 4, std::time::Duration::from_secs(1));
/// counts.observe(std::time::Duration::ZERO, &[vec![4.0, 1.0, 3.0, 2.0]]);
/// let map = longest_first(&counts, 2);
/// assert_eq!(map.loads(0, &counts.layers[0]), vec![5.0, 5.0]);
/// ```
pub fn longest_first(counts: &Counts, ranks: u16) -> Map {
    let layers = counts.layers.iter().map(|tokens| place(tokens, &vec![1; tokens.len()], ranks));
    Map { ranks, layers: layers.collect() }
}

/// Full re-placement: `slots` places on each rank; each spare one goes to the
/// expert whose replicas carry most, with equal shares; then longest first.
pub fn replicated(counts: &Counts, ranks: u16, slots: usize) -> Map {
    let layer = |tokens: &Vec<f64>| {
        let mut copies = vec![1_usize; tokens.len()];
        for _ in tokens.len()..slots * usize::from(ranks) {
            let part = |expert: &usize| tokens[*expert] / copies[*expert] as f64;
            let room = |expert: &usize| copies[*expert] < usize::from(ranks);
            let most = (0..tokens.len()).filter(room).max_by(|a, b| part(a).total_cmp(&part(b)));
            if let Some(expert) = most {
                copies[expert] += 1;
            }
        }
        place(tokens, &copies, ranks)
    };
    Map { ranks, layers: counts.layers.iter().map(layer).collect() }
}

fn place(tokens: &[f64], copies: &[usize], ranks: u16) -> Vec<Vec<Replica>> {
    let room = copies.iter().sum::<usize>().div_ceil(usize::from(ranks));
    let mut loads = vec![(0.0_f64, 0_usize); usize::from(ranks)];
    let mut placed: Vec<Vec<Replica>> = vec![Vec::new(); tokens.len()];
    let part = |expert: usize| tokens[expert] / copies[expert] as f64;
    let mut order: Vec<usize> = (0..tokens.len()).collect();
    order.sort_by(|a, b| part(*b).total_cmp(&part(*a)));
    for expert in order {
        for _ in 0..copies[expert] {
            let free = |rank: &u16| {
                let taken = placed[expert].iter().any(|replica| replica.rank == *rank);
                loads[usize::from(*rank)].1 < room && !taken
            };
            let load = |rank: u16| loads[usize::from(rank)].0;
            let idlest = (0..ranks).filter(free).min_by(|a, b| load(*a).total_cmp(&load(*b)));
            let Some(rank) = idlest else { continue };
            loads[usize::from(rank)].0 += part(expert);
            loads[usize::from(rank)].1 += 1;
            placed[expert].push(Replica { rank, share: 1.0 });
        }
        let share = 1.0 / placed[expert].len().max(1) as f64;
        placed[expert].iter_mut().for_each(|replica| replica.share = share);
    }
    placed
}
