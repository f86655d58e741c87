//! Compares policies by an experiment.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lab::experiment::{Settings, plot, print, rows};

use super::result::{make, write};
use crate::cmd::flags::Experiment;

/// Directory for the results when none is named.
const DIRECTORY: &str = "target/experiment";
/// Exit code for bad settings.
const BAD_INPUT: u8 = 2;

/// Why the experiment gives no results.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
enum Error {
    #[error(transparent)]
    #[diagnostic(transparent)]
    Plot(#[from] lab::experiment::PlotError),
    #[error(transparent)]
    #[diagnostic(transparent)]
    Result(#[from] super::result::Error),
}

/// Runs the experiment that the settings describe, or only checks them.
pub fn run(flags: Experiment) -> ExitCode {
    let settings: Settings = match settings::load(&flags.file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            return ExitCode::from(BAD_INPUT);
        }
    };
    if flags.check {
        println!("{}: settings are good", flags.file.display());
        return ExitCode::SUCCESS;
    }
    let directory = flags.out.unwrap_or_else(|| PathBuf::from(DIRECTORY));
    match compare(&settings, &directory) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::FAILURE
        }
    }
}

fn compare(settings: &Settings, directory: &Path) -> Result<(), Error> {
    make(directory)?;
    let figures = lab::experiment::run(settings);
    let rows = rows(&figures);
    print!("{}", print(&rows));
    write(&directory.join("experiment.jsonl"), &figures)?;
    plot(&rows, directory)?;
    Ok(())
}
