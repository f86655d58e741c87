//! The diagnostic for a settings file that can't be used.

use std::path::PathBuf;

use miette::{LabeledSpan, NamedSource, SourceSpan};

use crate::fault::Fault;

/// Why settings weren't loaded.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The file can't be read.
    #[error("can't read the settings file {}", path.display())]
    #[diagnostic(code(settings::read))]
    Read {
        /// The file asked for.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file isn't JSON.
    #[error("the settings file is not JSON: {cause}")]
    #[diagnostic(code(settings::syntax))]
    Syntax {
        /// The parser's account.
        cause: serde_json::Error,
        /// The file's text.
        #[source_code]
        text: NamedSource<String>,
        /// Where the parser gave up.
        #[label("here")]
        at: SourceSpan,
    },
    /// The file is JSON but has faults.
    #[error("the settings have {} fault(s)", faults.len())]
    #[diagnostic(code(settings::faults))]
    Faulty {
        /// All faults, in the order of their places.
        faults: Vec<Fault>,
        /// The file's text.
        #[source_code]
        text: NamedSource<String>,
        /// One label for each fault, in the same order.
        #[label(collection)]
        labels: Vec<LabeledSpan>,
    },
}

impl Error {
    /// The faults found; empty if the file wasn't readable JSON.
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
