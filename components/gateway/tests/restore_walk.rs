//! Random restores of the store while operators write, servers come and go,
//! entries are cut off and restart.
//!
//! `SEED=n` replays a walk, `WALKS=n` makes more.

mod restore_world;

use std::time::Duration;

use restore_world::World;

/// Walks of a usual run.
const WALKS: u64 = 15;

/// Time of a walk with trouble.
const TROUBLED: Duration = Duration::from_secs(40);

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn walk_restores() {
    let seeds = match number("SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("WALKS").unwrap_or(WALKS),
    };
    let mut restores = 0;
    let mut actions = std::collections::BTreeMap::<&str, u32>::new();
    for seed in seeds.clone() {
        println!("seed {seed}");
        let mut world = World::new(seed);
        world.run(TROUBLED, true);
        world.settle();
        restores += world.restores();
        for (name, count) in world.actions {
            *actions.entry(name).or_default() += count;
        }
    }
    println!("{seeds:?}: {restores} restores, {actions:?}");
    assert!(restores > 0, "a walk without a restore shows nothing");
}
