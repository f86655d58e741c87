//! Why a command was not carried out. Nothing was changed by it.

use miette::Diagnostic;
use tables::{Fault, Key, Name};

/// A command that ended before any change was tried.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// The settings file, or a file of changes, is at fault.
    #[error(transparent)]
    #[diagnostic(transparent)]
    File(#[from] Box<settings::Error>),
    /// A value is not the JSON of such a row.
    #[error("{} {}: {source}", key.kind.as_str(), key.name)]
    Value {
        /// The row.
        key: Key,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The command line lacks an argument.
    #[error("the command needs {what}; see --help")]
    Missing {
        /// What it lacks.
        what: &'static str,
    },
    /// A file can't be read.
    #[error("can't read {}", path.display())]
    Read {
        /// The file.
        path: std::path::PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The tables would be at fault after the change.
    #[error("the tables would have {} fault(s):{}", faults.len(), listed(faults))]
    Faults {
        /// All faults that the change would bring.
        faults: Vec<Fault>,
    },
    /// There is no such row.
    #[error("{} {}: does not exist", key.kind.as_str(), key.name)]
    Absent {
        /// The row.
        key: Key,
    },
    /// No host and no row knows this availability zone or backend server.
    #[error("{} {}: known neither to the tables nor to the host list", key.kind.as_str(), key.name)]
    Unknown {
        /// The row that would be written.
        key: Key,
    },
    /// The platform could not be read.
    #[error("reading the platform: {source}")]
    Platform {
        /// The cause.
        source: platform::Error,
    },
    /// A process did not answer on its operations address.
    #[error("{address}: no answer")]
    Process {
        /// The address.
        address: Name,
    },
    /// The command needs operations addresses and has none.
    #[error("no operations address: give --ops ADDRESS or `operations` in the settings")]
    NoOperations,
    /// No process knows the request.
    #[error("request {id}: no process that answered knows it")]
    NoRequest {
        /// The request.
        id: Name,
    },
}

impl Error {
    /// The exit code: 2 for bad input, 1 for what could not be reached.
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

fn listed(faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("\n  {fault}")).collect()
}
