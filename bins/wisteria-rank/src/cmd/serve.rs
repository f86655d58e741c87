//! Runs the daemon until a stop signal.

use std::process::ExitCode;

use crate::cmd::flags::Rank;

/// Runs the daemon or, with `--check`, only checks its settings.
pub fn run(flags: Rank) -> ExitCode {
    let flags = daemon::Flags { settings: flags.settings, check: flags.check };
    let run = |settings| rank::run(settings, daemon::shutdown_signal());
    daemon::start_with(flags, telemetry::init_json_log, run)
}
