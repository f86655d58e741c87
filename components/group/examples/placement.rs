//! Prints the placement experiment: `cargo run --release -p group --example placement`.

use std::time::{Duration, Instant};

use group::experiment;
use group::placement::{Counts, Map, Planner};

fn main() {
    println!("{:14} {:>5} {:>8} {:>10} {:>10}", "policy", "seed", "skew %", "GB/h", "stalled/h");
    for row in (1..=5).flat_map(experiment::placement) {
        println!(
            "{:14} {:>5} {:>8.2} {:>10.2} {:>10.1}",
            format!("{:?}", row.policy),
            row.seed,
            row.skew * 100.0,
            row.bytes / 1e9,
            row.stalled,
        );
    }
    let mut counts = Counts::new(1, 128, Duration::from_secs(60));
    let tokens = (1..=128).map(|position| 1.0 / f64::from(position)).collect();
    counts.observe(Duration::ZERO, &[tokens]);
    let mut planner = Planner::new(Duration::ZERO, 5, 1 << 34);
    let map = Map::round_robin(32, 1, 128);
    let start = Instant::now();
    let plan = planner.plan(Duration::ZERO, &counts, &map, &experiment::costs());
    println!("first plan of a layer: {} moves in {:?}", plan.moves.len(), start.elapsed());
    let start = Instant::now();
    planner.plan(Duration::ZERO, &counts, &plan.map, &experiment::costs());
    println!("next plan of the layer: {:?}", start.elapsed());
}
