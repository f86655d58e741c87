//! The entry daemon: `wisteria-entry --settings FILE.json [--check]`.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cmd::flags::Entry::from_env() {
        Ok(flags) => cmd::serve::run(flags),
        Err(error) => error.exit(),
    }
}
