//! Writes results as JSON lines.

use std::path::{Path, PathBuf};

use serde::Serialize;

/// Results can't be written.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The directory or file can't be written.
    #[error("can't write {}", path.display())]
    Write {
        /// The path.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A result has no form in JSON.
    #[error("a result can't be written as JSON")]
    Json(#[from] serde_json::Error),
}

/// Makes sure that a directory is there.
pub fn make(directory: &Path) -> Result<(), Error> {
    let failed = |source| Error::Write { path: directory.to_owned(), source };
    std::fs::create_dir_all(directory).map_err(failed)
}

/// Writes one line for each value.
pub fn write(path: &Path, values: &[impl Serialize]) -> Result<(), Error> {
    let mut text = String::new();
    for value in values {
        text.push_str(&serde_json::to_string(value)?);
        text.push('\n');
    }
    let failed = |source| Error::Write { path: path.to_owned(), source };
    std::fs::write(path, text).map_err(failed)
}
