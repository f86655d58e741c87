//! Start-up of a daemon from its command line.

use std::path::PathBuf;
use std::process::ExitCode;

use serde::de::DeserializeOwned;
use settings::Check;

/// Exit code for a bad command line, invalid settings or an address that can't
/// be bound.
const EXIT_BAD_INPUT: u8 = 2;

/// Command-line flags of a daemon.
#[derive(Clone, Debug)]
pub struct Flags {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Only check the settings, then exit.
    pub check: bool,
}

/// Loads the settings and runs the daemon, or only checks them.
///
/// Invalid settings are printed with their positions in the file, and the exit
/// code is 2 before anything is started. It is also 2 if `run` fails, for
/// example because an address can't be bound.
pub fn start<T, E, F>(flags: Flags, run: impl FnOnce(T) -> F) -> ExitCode
where
    T: DeserializeOwned + Check,
    E: miette::Diagnostic + Send + Sync + 'static,
    F: Future<Output = Result<(), E>>,
{
    start_with(flags, || telemetry::init_log(telemetry::Level::Info), run)
}

/// Like [`start`], but sets up the log with `init_log`.
pub fn start_with<T, E, F>(
    flags: Flags,
    init_log: impl FnOnce() -> Result<(), telemetry::LogError>,
    run: impl FnOnce(T) -> F,
) -> ExitCode
where
    T: DeserializeOwned + Check,
    E: miette::Diagnostic + Send + Sync + 'static,
    F: Future<Output = Result<(), E>>,
{
    let settings: T = match settings::load(&flags.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    if flags.check {
        println!("{}: settings are good", flags.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = init_log() {
        eprintln!("{error}");
    }
    let system = actix_rt::System::new();
    match system.block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            // Dropping the system would start actors that were created but
            // have not run yet, without a reactor.
            std::mem::forget(system);
            ExitCode::from(EXIT_BAD_INPUT)
        }
    }
}
