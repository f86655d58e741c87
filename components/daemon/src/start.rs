//! From the command line to a running daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use serde::de::DeserializeOwned;
use settings::Check;

/// Exit code for a bad command line, bad settings or an address that can't be
/// used.
const BAD_INPUT: u8 = 2;

/// What a daemon's command line says.
#[derive(Clone, Debug)]
pub struct Flags {
    /// The settings file.
    pub settings: PathBuf,
    /// Whether only to check the settings.
    pub check: bool,
}

/// Loads the settings and runs the daemon, or only checks them.
///
/// Bad settings are shown with their places in the file and end the process
/// with exit code 2 before anything is started. So does an address in them that
/// can't be used.
pub fn start<T, E, F>(flags: Flags, run: impl FnOnce(T) -> F) -> ExitCode
where
    T: DeserializeOwned + Check,
    E: miette::Diagnostic + Send + Sync + 'static,
    F: Future<Output = Result<(), E>>,
{
    start_with(flags, || telemetry::init_log(telemetry::Level::Info), run)
}

/// As [`start`], with a log of the daemon's own.
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
            return ExitCode::from(BAD_INPUT);
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
            // Actors that were created but never ran would start while the
            // system is dropped, without a reactor.
            std::mem::forget(system);
            ExitCode::from(BAD_INPUT)
        }
    }
}
