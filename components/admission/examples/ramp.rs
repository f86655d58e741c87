//! Prints how often the adaptive limit exceeds an engine's capacity, for seeds
//! that were not used to tune its constants.

use admission::experiment::{Control, Ramp, ramp};

fn main() {
    println!("control runs beyond worst most_excess collapses not_full not_full_again");
    for control in [Control::Adaptive, Control::AdaptiveLate] {
        let runs: Vec<Ramp> = (6..66)
            .flat_map(|seed| [0.0, 30.0].map(|pause| ramp(seed, control, 40.0, pause)))
            .collect();
        println!(
            "{control:?} {} {} {:.2} {} {} {} {}",
            runs.len(),
            runs.iter().filter(|run| run.worst > 1.0).count(),
            runs.iter().map(|run| run.worst).fold(0.0, f64::max),
            runs.iter().map(|run| run.excess).max().unwrap_or(0),
            runs.iter().map(|run| run.collapses).sum::<u32>(),
            runs.iter().filter(|run| run.full.is_none()).count(),
            runs.iter().filter(|run| run.full_again.is_none()).count()
        );
    }
}
