//! Serves a stand-in for the platform's service until told to stop.

use std::net::SocketAddr;
use std::process::ExitCode;

use lab::platform::{ServeError, serve};
use serde::Deserialize;
use settings::{Check, Fault};

use crate::cmd::flags::Platform;

/// Most changes and objects that the settings may allow.
const COUNT_LIMIT: f64 = 10_000_000.0;

/// The settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    /// Address to serve; port 0 takes any free port.
    listen: SocketAddr,
    /// How it behaves and what it holds.
    #[serde(default)]
    store: lab::platform::Settings,
}

/// Why the stand-in could not run.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("the platform stand-in can't run")]
struct Error(#[from] ServeError);

impl Check for Settings {
    fn faults(&self) -> Vec<Fault> {
        let faults = [
            Fault::out_of_range("/store/history", self.store.history as f64, 1.0..=COUNT_LIMIT),
            Fault::out_of_range("/store/page", self.store.page as f64, 1.0..=COUNT_LIMIT),
        ];
        faults.into_iter().flatten().collect()
    }
}

/// Runs the stand-in, or only checks its settings.
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
