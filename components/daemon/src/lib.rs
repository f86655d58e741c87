//! Code shared by all daemons: start-up, signals, HTTP servers and exit codes.

mod connection;
mod error;
mod server;
mod signal;
mod start;
mod unread;

pub use error::Error;
pub use server::{ListenError, Options, serve, serve_with};
pub use signal::{on_sighup, shutdown_signal};
pub use start::{Flags, start, start_with};
pub use unread::close_after;

/// Returns a process incarnation: microseconds since the Unix epoch, so that
/// each restart on a host gets a higher number.
///
/// ```
/// assert!(daemon::incarnation() > 1_700_000_000_000_000);
/// ```
pub fn incarnation() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(1, |elapsed| elapsed.as_micros() as u64)
}
