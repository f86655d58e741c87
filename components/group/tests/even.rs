//! Placement where all holders of an expert share its tokens evenly.

use group::placement::even::{Assignment, Bounds};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn improved_levels_skewed_demand() {
    let map = Assignment::dealt(12, 2, 72);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let tokens = || (0..72).map(|e| if e % 12 == 0 { 900.0 } else { 100.0 }).collect::<Vec<f64>>();
    let demand = vec![tokens(), (0..72).map(|_| rng.random_range(1.0..1000.0)).collect()];
    let bounds = Bounds { places: 8, fresh: 3, gain: 0.02 };
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
