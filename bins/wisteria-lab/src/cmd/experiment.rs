//! `wisteria-lab experiment`: compares policies.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lab::experiment::{Settings, plot, print, rows};

use super::result::{create_directory, write_lines};
use crate::cmd::flags::Experiment;

/// Default directory for the results.
const DEFAULT_DIRECTORY: &str = "target/experiment";
/// Exit code for invalid settings.
const EXIT_BAD_INPUT: u8 = 2;

/// The experiment's results could not be written.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
enum Error {
    #[error(transparent)]
    #[diagnostic(transparent)]
    Plot(#[from] lab::experiment::PlotError),
    #[error(transparent)]
    #[diagnostic(transparent)]
    Result(#[from] super::result::Error),
}

/// Runs the experiment described by the settings or, with `--check`, only checks
/// them.
pub fn run(flags: Experiment) -> ExitCode {
    let settings: Settings = match settings::load(&flags.file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    if flags.check {
        println!("{}: settings are good", flags.file.display());
        return ExitCode::SUCCESS;
    }
    let directory = flags.out.unwrap_or_else(|| PathBuf::from(DEFAULT_DIRECTORY));
    match compare(&settings, &directory) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::FAILURE
        }
    }
}

fn compare(settings: &Settings, directory: &Path) -> Result<(), Error> {
    create_directory(directory)?;
    let figures = lab::experiment::run(settings);
    let rows = rows(&figures);
    print!("{}", print(&rows));
    write_lines(&directory.join("experiment.jsonl"), &figures)?;
    plot(&rows, directory)?;
    Ok(())
}
