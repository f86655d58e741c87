//! `wisteria-lab demo`: runs the whole system in one process.

use std::process::ExitCode;

use crate::cmd::flags::Demo;

/// Runs the demonstration and prints its result table.
pub fn run(flags: Demo) -> ExitCode {
    let seed = flags.seed.unwrap_or(1);
    match actix_rt::System::new().block_on(lab::demo::run(seed)) {
        Ok(report) => {
            println!("{report}");
            if report.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::FAILURE
        }
    }
}
