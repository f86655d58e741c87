//! Seeded random walks over the faults, with the promises as checks.
//!
//! `SEED=7 cargo test -p system --test walk` walks with one seed alone, and
//! `VERBOSE=1` prints its inputs; `WALKS=20000` walks with more seeds.

use system::world::walk::{Walk, walk};

/// Walks in one run of the tests.
const WALKS: u64 = 1000;
/// Threads that walk side by side.
const THREADS: u64 = 8;

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|value| value.parse().ok())
}

#[test]
fn walk_keeps_promises() {
    if let Some(seed) = variable("SEED") {
        assert_eq!(walk(seed).broken, Vec::<String>::new(), "seed {seed}");
        return;
    }
    let walks = variable("WALKS").unwrap_or(WALKS);
    let done: Vec<(u64, Walk)> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            (0..THREADS).map(|thread| scope.spawn(move || some(thread, walks))).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
    });
    assert_eq!(done.len() as u64, walks, "a walk panicked");
    let sum = |of: fn(&Walk) -> usize| done.iter().map(|(_, walk)| of(walk)).sum::<usize>();
    let (runs, whole) = (sum(|walk| walk.runs), sum(|walk| walk.whole));
    let (changes, graceful) = (sum(|walk| walk.changes), sum(|walk| walk.graceful));
    let crashes = sum(|walk| walk.crashes as usize);
    println!("{walks} walks: {runs} runs, {whole} whole answers, {crashes} crashes");
    println!("{changes} changes, {graceful} requests at processes that stopped");
    let broken: Vec<_> = done.iter().filter(|(_, walk)| !walk.broken.is_empty()).collect();
    for (seed, walk) in &broken {
        println!("SEED={seed}: {:?}", walk.broken);
    }
    assert!(broken.is_empty(), "{} walks broke promises", broken.len());
    // A walk in which nothing happens proves nothing.
    let enough = [runs, whole, changes, graceful].iter().all(|count| *count as u64 >= walks / 10);
    assert!(enough, "too little happened");
}

/// The walks of one thread.
fn some(thread: u64, walks: u64) -> Vec<(u64, Walk)> {
    let seeds = (0..walks).filter(|seed| seed % THREADS == thread);
    seeds.map(|seed| (seed, walk(seed))).collect()
}
