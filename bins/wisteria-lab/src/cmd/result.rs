//! Result files in JSON lines.

use std::path::{Path, PathBuf};

use serde::Serialize;

/// Results can't be written.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The directory or file can't be written.
    #[error("can't write {}", path.display())]
    Write {
        /// Path of the directory or file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A result can't be serialized.
    #[error("can't serialize a result as JSON")]
    Json(#[from] serde_json::Error),
}

/// Creates a directory and its parents if they don't exist.
pub fn create_directory(directory: &Path) -> Result<(), Error> {
    let to_error = |source| Error::Write { path: directory.to_owned(), source };
    std::fs::create_dir_all(directory).map_err(to_error)
}

/// Writes one JSON line per value, replacing the file.
pub fn write_lines(path: &Path, values: &[impl Serialize]) -> Result<(), Error> {
    let mut text = String::new();
    for value in values {
        text.push_str(&serde_json::to_string(value)?);
        text.push('\n');
    }
    let to_error = |source| Error::Write { path: path.to_owned(), source };
    std::fs::write(path, text).map_err(to_error)
}
