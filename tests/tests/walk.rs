//! Seeded random walks over the faults, with the promises as checks.
//!
//! `SEED=7 cargo test -p system --test walk` walks with one seed alone.

use system::world::walk::walk;

/// Walks in one run of the tests.
const WALKS: u64 = 1000;
/// Threads that walk side by side.
const THREADS: u64 = 8;

#[test]
fn walk_keeps_promises() {
    let only = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok());
    if let Some(seed) = only {
        assert_eq!(walk(seed), Vec::<String>::new(), "seed {seed}");
        return;
    }
    let broken: Vec<(u64, Vec<String>)> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..THREADS).map(|thread| scope.spawn(move || some(thread))).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    });
    println!("{WALKS} walks");
    assert!(broken.is_empty(), "{} walks broke promises: {broken:#?}", broken.len());
}

/// The walks of one thread that broke a promise.
fn some(thread: u64) -> Vec<(u64, Vec<String>)> {
    let seeds = (0..WALKS).filter(|seed| seed % THREADS == thread);
    seeds.map(|seed| (seed, walk(seed))).filter(|(_, broken)| !broken.is_empty()).collect()
}
