//! `wisteria-lab engine`: serves a stand-in for a model engine until a stop signal.

use std::process::ExitCode;

use lab::ServeError;
use lab::engine::Settings;

use crate::cmd::flags::Engine;

/// Runs the stand-in or, with `--check`, only checks its settings.
pub fn run(flags: Engine) -> ExitCode {
    let flags = daemon::Flags { settings: flags.settings, check: flags.check };
    daemon::start(flags, serve)
}

async fn serve(settings: Settings) -> Result<(), ServeError> {
    let handle = lab::engine::serve(settings)?;
    println!("{}", handle.address);
    daemon::shutdown_signal().await;
    handle.stop();
    Ok(())
}
