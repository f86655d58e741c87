//! Command-line flags.
#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// The entry daemon that sends straight to backend servers.
    ///
    /// Exit codes: 0 stopped as told, 2 bad command line, settings or addresses.
    cmd gateway {
        /// Settings in JSON.
        required --settings file: PathBuf
        /// Check the settings and exit.
        optional --check
    }
}
