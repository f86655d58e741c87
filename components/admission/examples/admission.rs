//! Prints the results of the admission experiments for five seeds.

use admission::experiment::{Control, Discipline, flood, ramp};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn main() {
    println!("control pause seed worst excess collapses full full_again answered");
    for control in [
        Control::Adaptive,
        Control::AdaptiveUnbounded,
        Control::AdaptiveLate,
        Control::Fixed,
        Control::Unlimited,
    ] {
        for pause in [0.0, 30.0] {
            for seed in SEEDS {
                let run = ramp(seed, control, 40.0, pause);
                println!(
                    "{control:?} {pause} {seed} {:.2} {} {} {:.0} {:.0} {}",
                    run.worst,
                    run.excess,
                    run.collapses,
                    run.full.unwrap_or(f64::NAN),
                    run.full_again.unwrap_or(f64::NAN),
                    run.answered
                );
            }
        }
    }
    println!("discipline factor seed small_p95 large_p95 small_lost longest");
    for discipline in [Discipline::Fair, Discipline::Plain, Discipline::Fifo] {
        for factor in [1.0, 1.5, 5.0, 20.0] {
            for seed in SEEDS {
                let run = flood(seed, discipline, factor);
                println!(
                    "{discipline:?} {factor} {seed} {:.3} {:.3} {:.3} {}",
                    run.small_p95, run.large_p95, run.small_lost, run.longest
                );
            }
        }
    }
}
