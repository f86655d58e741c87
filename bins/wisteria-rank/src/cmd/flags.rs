//! Command-line flags.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// The daemon beside a rank of a group.
    ///
    /// Exit codes: 0 stopped as told, 2 bad command line, settings or addresses.
    cmd rank {
        /// Settings in JSON.
        required --settings file: PathBuf
        /// Check the settings and exit.
        optional --check
    }
}
