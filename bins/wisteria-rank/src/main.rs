//! The rank daemon, which runs beside each rank of a group:
//! `wisteria-rank --settings FILE.json [--check]`.

mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cmd::flags::Rank::from_env() {
        Ok(flags) => cmd::serve::run(flags),
        Err(error) => error.exit(),
    }
}
