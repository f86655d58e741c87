//! Runs the daemon until a stop signal.

use std::process::ExitCode;

use crate::cmd::flags::Gateway;

/// Runs the daemon or, with `--check`, only checks its settings.
pub fn run(flags: Gateway) -> ExitCode {
    let path = flags.settings.clone();
    let flags = daemon::Flags { settings: flags.settings, check: flags.check };
    let run = |settings| gateway::run(settings, path, daemon::shutdown_signal());
    daemon::start_with(flags, telemetry::init_json_log, run)
}
