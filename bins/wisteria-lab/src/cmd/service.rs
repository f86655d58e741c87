//! `wisteria-lab service`: serves a stand-in for a plain service until a stop signal.

use std::process::ExitCode;

use lab::ServeError;
use lab::service::Settings;

use crate::cmd::flags::Service;

/// Runs the stand-in or, with `--check`, only checks its settings.
pub fn run(flags: Service) -> ExitCode {
    let flags = daemon::Flags { settings: flags.settings, check: flags.check };
    daemon::start(flags, serve)
}

async fn serve(settings: Settings) -> Result<(), ServeError> {
    let service = lab::service::serve(settings)?;
    println!("{}", service.handle.address);
    daemon::shutdown_signal().await;
    service.stop();
    Ok(())
}
