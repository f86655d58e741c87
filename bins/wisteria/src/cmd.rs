//! One module per command, and their shared code.

pub mod accounts;
pub mod apply;
pub mod config;
pub mod dump;
pub mod explain;
pub mod pools;
pub mod routes;
mod row;
pub mod server;
pub mod servers;
pub mod status;
pub mod suspects;
pub mod zone;
pub mod zones;

use std::fmt::Display;
use std::path::Path;

use operator::{Error, Report, Session, Settings};
use serde::Serialize;

use crate::flags::Wisteria;

/// Default settings file.
const DEFAULT_SETTINGS: &str = "wisteria.json";

/// Session and output options of a command.
pub struct Context {
    pub session: Session,
    json: bool,
    wait: bool,
}

impl Context {
    /// Loads the settings and applies the flags.
    pub fn new(flags: &Wisteria) -> Result<Context, Error> {
        let path = flags.settings.as_deref().unwrap_or(Path::new(DEFAULT_SETTINGS));
        let mut settings: Settings = settings::load(path).map_err(Box::new)?;
        if !flags.ops.is_empty() {
            settings.operations = flags.ops.iter().map(|address| address.as_str().into()).collect();
        }
        Ok(Context { session: Session::new(settings), json: flags.json, wait: flags.wait })
    }

    /// Prints a result as text or JSON.
    pub fn print(&self, value: &(impl Serialize + Display)) {
        match self.json {
            true => print_json(value),
            false => print!("{value}"),
        }
    }

    /// Prints the report of a change and returns the exit code. With `--wait`, first
    /// waits until the change is in force.
    pub async fn finish(&self, mut report: Report) -> i32 {
        if self.wait {
            self.session.wait(&mut report).await;
        }
        self.print(&report);
        report.exit_code()
    }
}

/// Prints a value as indented JSON.
pub fn print_json(value: &impl Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("{error}"),
    }
}

/// Prints the diagnostic of an error and returns its exit code.
pub fn report_error(error: Error) -> i32 {
    let code = error.exit_code();
    eprintln!("{:?}", miette::Report::new(error));
    code
}
