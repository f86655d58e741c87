//! Runs the daemon until a stop signal.

use std::process::ExitCode;

use crate::cmd::flags::Entry;

/// Runs the daemon or, with `--check`, only checks its settings.
pub fn run(flags: Entry) -> ExitCode {
    let flags = daemon::Flags { settings: flags.settings, check: flags.check };
    daemon::start(flags, |settings| entry::run(settings, daemon::shutdown_signal()))
}
