//! Measures all figures.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lab::bench::Size;
use lab::experiment::print;

use super::result::{make, write};
use crate::cmd::flags::Bench;

/// Directory for the results when none is named.
const DIRECTORY: &str = "target/bench";

/// Why the bench gives no figures.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
enum Error {
    #[error(transparent)]
    #[diagnostic(transparent)]
    Fleet(#[from] lab::fleet::Error),
    #[error(transparent)]
    #[diagnostic(transparent)]
    Result(#[from] super::result::Error),
}

/// Runs the bench, prints its table and writes it.
pub fn run(flags: Bench) -> ExitCode {
    let directory = flags.out.unwrap_or_else(|| PathBuf::from(DIRECTORY));
    let size = if flags.quick { Size::quick() } else { Size::full() };
    match measure(&size, &directory) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::FAILURE
        }
    }
}

fn measure(size: &Size, directory: &Path) -> Result<(), Error> {
    make(directory)?;
    let progress = |part: &str| eprintln!("measuring: {part}");
    let rows = actix_rt::System::new().block_on(lab::bench::run(size, progress))?;
    print!("{}", print(&rows));
    write(&directory.join("bench.jsonl"), &rows)?;
    Ok(())
}
