//! Prints the results of the selection experiment for five seeds.

use std::time::Duration;

use routing::experiment::{Policy, Setting, run};

/// Seeds of the runs.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
/// Policies to compare.
const POLICIES: [Policy; 6] = [
    Policy::Scored,
    Policy::Uncached,
    Policy::Random,
    Policy::RoundRobin,
    Policy::LeastInFlight,
    Policy::TwoChoices,
];

fn main() {
    println!("policy lag_ms gaps load p50_ms p95_ms queue cold_queue cached (one line a seed)");
    for (lag, gaps) in [(100, 0.3), (300, 0.3), (1000, 0.9)] {
        for policy in POLICIES {
            for seed in SEEDS {
                let lag = Duration::from_millis(lag);
                print(Setting { seed, policy, lag, gaps, load: 0.8 });
            }
        }
    }
}

fn print(setting: Setting) {
    let outcome = run(setting);
    println!(
        "{:?} {} {} {} {} {} {} {} {:.2}",
        setting.policy,
        setting.lag.as_millis(),
        setting.gaps,
        setting.load,
        outcome.median.as_millis(),
        outcome.p95.as_millis(),
        outcome.queue,
        outcome.cold_queue,
        outcome.cached
    );
}
