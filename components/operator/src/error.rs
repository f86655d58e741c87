//! Errors of commands that failed before any change was made.

use miette::Diagnostic;
use tables::{Fault, Key, Name};

/// A command failed before any change was attempted.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// The settings file or a change file is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    File(#[from] Box<settings::Error>),
    /// A value does not decode as a row of its kind.
    #[error("{} {}: {source}", key.kind.as_str(), key.name)]
    Value {
        /// The row.
        key: Key,
        /// The decoding error.
        source: serde_json::Error,
    },
    /// A required argument is missing on the command line.
    #[error("the command needs {what}; see --help")]
    Missing {
        /// The missing argument.
        what: &'static str,
    },
    /// A file cannot be read.
    #[error("cannot read {}", path.display())]
    Read {
        /// The file.
        path: std::path::PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The change would introduce faults into the tables.
    #[error("the change would introduce {} fault(s) into the tables:{}", faults.len(), format_faults(faults))]
    Faults {
        /// All faults that the change would introduce.
        faults: Vec<Fault>,
    },
    /// The row does not exist.
    #[error("{} {}: does not exist", key.kind.as_str(), key.name)]
    Absent {
        /// The row.
        key: Key,
    },
    /// The availability zone or backend server is neither in the tables nor in
    /// the host list.
    #[error("{} {}: found neither in the tables nor in the host list", key.kind.as_str(), key.name)]
    Unknown {
        /// The row that the command would have written.
        key: Key,
    },
    /// Reading from the platform failed.
    #[error("reading the platform: {source}")]
    Platform {
        /// The cause.
        source: platform::Error,
    },
    /// A process gave no usable response on its operations address.
    #[error("{address}: no usable response")]
    Process {
        /// The address.
        address: Name,
    },
    /// The command needs operations addresses and none is configured.
    #[error("no operations address: pass --ops ADDRESS or set `operations` in the settings")]
    NoOperations,
    /// No process that responded has a record of the request.
    #[error("request {id}: not found on any process that responded")]
    NoRequest {
        /// The request ID.
        id: Name,
    },
}

impl Error {
    /// The exit code: 1 if the platform or a process could not be reached or no
    /// process has the request, 2 for invalid input.
    ///
    /// ```
    /// let error = operator::Error::NoOperations;
    /// assert_eq!(error.exit_code(), 2);
    /// ```
    pub fn exit_code(&self) -> i32 {
        match self {
            Error::Platform { .. } | Error::Process { .. } | Error::NoRequest { .. } => 1,
            _ => 2,
        }
    }
}

impl From<platform::Error> for Error {
    fn from(source: platform::Error) -> Error {
        Error::Platform { source }
    }
}

fn format_faults(faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("\n  {fault}")).collect()
}
