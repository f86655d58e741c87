//! Tests of the placement in which all holders of an expert share its tokens
//! evenly.

use group::placement::even::{Assignment, Bounds};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn improved_levels_skewed_demand() {
    let map = Assignment::round_robin(12, 2, 72);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let tokens = || (0..72).map(|e| if e % 12 == 0 { 900.0 } else { 100.0 }).collect::<Vec<f64>>();
    let demand = vec![tokens(), (0..72).map(|_| rng.random_range(1.0..1000.0)).collect()];
    let bounds = Bounds { places: 8, fresh: 3, copies: 6, gain: 0.02 };
    let better = map.improved(&demand, bounds);
    assert!(map.skew(&demand) > 2.0);
    assert!(better.skew(&demand) < 1.0 + (map.skew(&demand) - 1.0) / 2.0);
    for (set, before) in better.sets.iter().zip(&map.sets) {
        for (held, before) in set.iter().zip(before) {
            assert!(held.len() <= bounds.places);
            let fresh = held.iter().filter(|expert| !before.contains(expert)).count();
            assert!(fresh <= bounds.fresh);
        }
        let mut all: Vec<u16> = set.iter().flatten().copied().collect();
        all.sort_unstable();
        all.dedup();
        assert_eq!(all.len(), 72, "each expert stays somewhere");
    }
}

#[test]
fn improved_respects_copies_per_rank() {
    let map = Assignment::round_robin(12, 3, 96);
    let hot = |hot: usize| (0..96).map(|e| if e == hot { 2300.0 } else { 80.0 }).collect();
    let demand: Vec<Vec<f64>> = vec![hot(5), hot(17), hot(40)];
    let bounds = Bounds { places: 11, fresh: 4, copies: 1, gain: 0.02 };
    let better = map.improved(&demand, bounds);
    assert_eq!(better.max_copies(&map), 1);
    // One copy per rank is enough to spread the hot expert of each set.
    for ((set, before), tokens) in better.sets.iter().zip(&map.sets).zip(&demand) {
        let one = |set: &Vec<Vec<u16>>| Assignment { sets: vec![set.clone()] };
        let tokens = std::slice::from_ref(tokens);
        assert!(one(set).skew(tokens) < one(before).skew(tokens) / 1.7);
    }
}

#[test]
fn improved_drops_replicas_without_copying() {
    let map = Assignment { sets: vec![vec![vec![0, 1], vec![0, 2], vec![0, 3]]] };
    let demand = vec![vec![30.0, 40.0, 5.0, 5.0]];
    let bounds = Bounds { places: 2, fresh: 1, copies: 0, gain: 0.01 };
    let better = map.improved(&demand, bounds);
    assert_eq!(better.max_copies(&map), 0);
    assert_eq!(better.sets[0], vec![vec![1], vec![0, 2], vec![0, 3]]);
}

/// All ranks wait for the slowest one in each pass. A rank that is twelve times
/// slower must end up with experts of low demand.
#[test]
fn improved_with_slowdowns_spares_slow_rank() {
    let map = Assignment::round_robin(12, 3, 96);
    let tokens: Vec<f64> = (1..=96).map(|position| 1e5 / f64::from(position)).collect();
    let demand = vec![tokens; 3];
    let mut slowdowns = vec![1.0; 12];
    slowdowns[4] = 12.0;
    let bounds = Bounds { places: 11, fresh: 4, copies: 12, gain: 0.01 };
    let (mut aware, mut unaware) = (map.clone(), map);
    for _ in 0..3 {
        aware = aware.improved_with_slowdowns(&demand, &slowdowns, bounds);
        unaware = unaware.improved(&demand, bounds);
    }
    assert!(unaware.skew_with_slowdowns(&demand, &slowdowns) > 10.0);
    assert!(
        aware.skew_with_slowdowns(&demand, &slowdowns) < 2.0,
        "{}",
        aware.skew_with_slowdowns(&demand, &slowdowns)
    );
    let mut all: Vec<u16> = aware.sets[0].iter().flatten().copied().collect();
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), 96, "each expert stays somewhere");
}
