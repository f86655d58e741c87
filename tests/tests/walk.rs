//! Seeded random walks over faults, with invariant checks.
//!
//! `SEED=7 cargo test -p system --test walk` runs the walk of one seed, and
//! `VERBOSE=1` prints its inputs; `WALKS=20000` sets the number of seeds.

use system::world::walk::{Walk, walk};

/// Number of walks in one test run.
const WALKS: u64 = 1000;
/// Number of threads that run walks.
const THREADS: u64 = 8;

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|value| value.parse().ok())
}

#[test]
fn walk_upholds_invariants() {
    if let Some(seed) = variable("SEED") {
        assert_eq!(walk(seed).violations, Vec::<String>::new(), "seed {seed}");
        return;
    }
    let walks = variable("WALKS").unwrap_or(WALKS);
    let done: Vec<(u64, Walk)> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..THREADS).map(|thread| scope.spawn(move || walk_seeds(thread, walks))).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    });
    assert_eq!(done.len() as u64, walks, "a walk panicked");
    let sum = |of: fn(&Walk) -> usize| done.iter().map(|(_, walk)| of(walk)).sum::<usize>();
    let (runs, completed) = (sum(|walk| walk.runs), sum(|walk| walk.completed));
    let (changes, graceful) = (sum(|walk| walk.changes), sum(|walk| walk.graceful));
    let crashes = sum(|walk| walk.crashes as usize);
    println!("{walks} walks: {runs} runs, {completed} complete answers, {crashes} crashes");
    println!("{changes} changes, {graceful} requests at processes that stopped");
    let broken: Vec<_> = done.iter().filter(|(_, walk)| !walk.violations.is_empty()).collect();
    for (seed, walk) in &broken {
        println!("SEED={seed}: {:?}", walk.violations);
    }
    assert!(broken.is_empty(), "{} walks violated invariants", broken.len());
    // Guards against walks that exercise nothing.
    let enough =
        [runs, completed, changes, graceful].iter().all(|count| *count as u64 >= walks / 10);
    assert!(enough, "too few events of some kind");
}

/// Runs the walks of one thread.
fn walk_seeds(thread: u64, walks: u64) -> Vec<(u64, Walk)> {
    let seeds = (0..walks).filter(|seed| seed % THREADS == thread);
    seeds.map(|seed| (seed, walk(seed))).collect()
}
