//! `wisteria-lab bench`: measures all benchmark figures.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lab::bench::Size;
use lab::experiment::print;

use super::result::{create_directory, write_lines};
use crate::cmd::flags::Bench;

/// Default directory for the results.
const DEFAULT_DIRECTORY: &str = "target/bench";

/// The benchmark could not run, or its results could not be written.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
enum Error {
    #[error(transparent)]
    #[diagnostic(transparent)]
    Fleet(#[from] lab::fleet::Error),
    #[error(transparent)]
    #[diagnostic(transparent)]
    Result(#[from] super::result::Error),
}

/// Runs the benchmark, prints its table and writes the rows.
pub fn run(flags: Bench) -> ExitCode {
    let directory = flags.out.unwrap_or_else(|| PathBuf::from(DEFAULT_DIRECTORY));
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
    create_directory(directory)?;
    let progress = |part: &str| eprintln!("measuring: {part}");
    let rows = actix_rt::System::new().block_on(lab::bench::run(size, progress))?;
    print!("{}", print(&rows));
    write_lines(&directory.join("bench.jsonl"), &rows)?;
    Ok(())
}
