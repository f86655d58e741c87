//! Runs the daemon until a stop signal.

use std::process::ExitCode;

use crate::cmd::flags::Agent;

/// Runs the daemon or, with `--check`, only checks its settings.
pub fn run(flags: Agent) -> ExitCode {
    let flags = daemon::Flags { settings: flags.settings, check: flags.check };
    daemon::start(flags, |settings| agent::run(settings, daemon::shutdown_signal()))
}
