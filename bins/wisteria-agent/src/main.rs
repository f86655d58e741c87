//! The agent daemon: `wisteria-agent --settings FILE.json [--check]`.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cmd::flags::Agent::from_env() {
        Ok(flags) => cmd::serve::run(flags),
        Err(error) => error.exit(),
    }
}
