//! What all daemons share: start, signals, HTTP servers and the way out.

mod error;
mod server;
mod signal;
mod start;

pub use error::Error;
pub use server::{ListenError, Options, serve, serve_with};
pub use signal::{on_sighup, shutdown_signal};
pub use start::{Flags, start, start_with};

/// Microseconds since the Unix epoch, as the incarnation of a process: it rises
/// with each start on a host.
///
/// ```
/// assert!(daemon::incarnation() > 1_700_000_000_000_000);
/// ```
pub fn incarnation() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |since| since.as_micros() as u64)
}
