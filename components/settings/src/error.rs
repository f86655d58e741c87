//! Errors of loading a settings file, as diagnostics with source labels.

use std::path::PathBuf;

use miette::{LabeledSpan, NamedSource, SourceSpan};

use crate::fault::Fault;

/// Loading settings failed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read the settings file {}", path.display())]
    #[diagnostic(code(settings::read))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not valid JSON.
    #[error("the settings file is not valid JSON: {cause}")]
    #[diagnostic(code(settings::syntax))]
    Syntax {
        /// The error of the JSON parser.
        cause: serde_json::Error,
        /// The file's text.
        #[source_code]
        text: NamedSource<String>,
        /// Position of the syntax error.
        #[label("here")]
        at: SourceSpan,
    },
    /// The file is valid JSON but its values have faults.
    #[error("the settings have {} fault(s)", faults.len())]
    #[diagnostic(code(settings::faults))]
    Faulty {
        /// All faults, ordered by position in the text.
        faults: Vec<Fault>,
        /// The file's text.
        #[source_code]
        text: NamedSource<String>,
        /// One label per fault, in the same order.
        #[label(collection)]
        labels: Vec<LabeledSpan>,
    },
}

impl Error {
    /// The faults found; empty if the file could not be read or parsed as JSON.
    ///
    /// ```
    /// # #[derive(serde::Deserialize)]
    /// # struct Empty {}
    /// # impl settings::Check for Empty {
    /// #     fn faults(&self) -> Vec<settings::Fault> { Vec::new() }
    /// # }
    /// let error = settings::parse::<Empty>("a.json", "[").err().unwrap();
    /// assert!(error.faults().is_empty());
    /// ```
    pub fn faults(&self) -> &[Fault] {
        match self {
            Self::Faulty { faults, .. } => faults,
            Self::Read { .. } | Self::Syntax { .. } => &[],
        }
    }
}
