//! Random walks that restore the store from old snapshots while operators write,
//! servers register and leave, and entries are partitioned and restart.
//!
//! `SEED=n` replays one walk, `WALKS=n` sets the number of walks.

mod restore_world;

use std::time::Duration;

use restore_world::World;

/// Number of walks unless `WALKS` is set.
const DEFAULT_WALKS: u64 = 15;

/// Duration of the fault phase of a walk, in simulated time.
const FAULT_PHASE: Duration = Duration::from_secs(40);

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn walk_restores() {
    let seeds = match env_number("SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..env_number("WALKS").unwrap_or(DEFAULT_WALKS),
    };
    let mut restores = 0;
    let mut actions = std::collections::BTreeMap::<&str, u32>::new();
    for seed in seeds.clone() {
        println!("seed {seed}");
        let mut world = World::new(seed);
        world.run(FAULT_PHASE, true);
        world.settle();
        restores += world.restores();
        for (name, count) in world.actions {
            *actions.entry(name).or_default() += count;
        }
    }
    println!("{seeds:?}: {restores} restores, {actions:?}");
    assert!(restores > 0, "no walk restored the store, so nothing was tested");
}
