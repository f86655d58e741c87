//! The gateway daemon, which sends callers' requests directly to backend servers:
//! `wisteria-gateway --settings FILE.json [--check]`.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cmd::flags::Gateway::from_env() {
        Ok(flags) => cmd::serve::run(flags),
        Err(error) => error.exit(),
    }
}
