//! `wisteria-lab platform`: serves a stand-in for the platform's service until a stop signal.

use std::net::SocketAddr;
use std::process::ExitCode;

use lab::platform::{ServeError, serve};
use serde::Deserialize;
use settings::{Check, Fault};

use crate::cmd::flags::Platform;

/// Maximum of the settings that limit the numbers of kept changes and of objects
/// per page.
const MAX_COUNT: f64 = 10_000_000.0;

/// The settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    /// Address to serve; port 0 takes any free port.
    listen: SocketAddr,
    /// Behaviour and initial content of the store.
    #[serde(default)]
    store: lab::platform::Settings,
}

/// The stand-in could not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("can't start the platform stand-in")]
struct Error(#[from] ServeError);

impl Check for Settings {
    fn faults(&self) -> Vec<Fault> {
        let faults = [
            Fault::out_of_range("/store/history", self.store.history as f64, 1.0..=MAX_COUNT),
            Fault::out_of_range("/store/page", self.store.page as f64, 1.0..=MAX_COUNT),
        ];
        faults.into_iter().flatten().collect()
    }
}

/// Runs the stand-in or, with `--check`, only checks its settings.
pub fn run(flags: Platform) -> ExitCode {
    let flags = daemon::Flags { settings: flags.settings, check: flags.check };
    daemon::start(flags, start)
}

async fn start(settings: Settings) -> Result<(), Error> {
    let handle = serve(settings.listen, settings.store)?;
    println!("{}", handle.address);
    daemon::shutdown_signal().await;
    handle.stop();
    Ok(())
}
