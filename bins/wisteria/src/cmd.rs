//! One module for each command, and what they share.

pub mod accounts;
pub mod apply;
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

/// Settings file when none is given.
const SETTINGS: &str = "wisteria.json";

/// What every command needs.
pub struct Context {
    pub session: Session,
    json: bool,
    wait: bool,
}

impl Context {
    /// Reads the settings.
    pub fn new(flags: &Wisteria) -> Result<Context, Error> {
        let path = flags.settings.as_deref().unwrap_or(Path::new(SETTINGS));
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

    /// Waits if asked to, prints the report and gives the exit code.
    pub async fn finish(&self, mut report: Report) -> i32 {
        if self.wait {
            self.session.wait(&mut report).await;
        }
        self.print(&report);
        report.exit_code()
    }
}

/// Prints JSON with indents.
pub fn print_json(value: &impl Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("{error}"),
    }
}

/// Prints the diagnostic of an error and gives its exit code.
pub fn fail(error: Error) -> i32 {
    let code = error.exit_code();
    eprintln!("{:?}", miette::Report::new(error));
    code
}
