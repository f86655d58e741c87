//! HTTP servers that leave signals to the daemon.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};

/// An HTTP address can't be listened on.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("address {address}: {source}")]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// What the system says.
    pub source: std::io::Error,
}

/// Serves what `configure` sets up on `address` with a number of threads.
/// A graceful stop of the handle waits `shutdown` for open connections.
///
/// # Errors
///
/// If the address can't be listened on.
pub fn serve(
    address: SocketAddr,
    workers: usize,
    shutdown: Duration,
    configure: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
) -> Result<ServerHandle, ListenError> {
    serve_with(address, workers, shutdown, Options::default(), configure)
}

/// How connections of callers are treated.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time after which an idle connection is closed.
    pub keep_alive: Duration,
    /// Whether a caller that closed its sending side still gets its answer. If
    /// not, it counts as gone and its request is dropped.
    pub half_closed: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options { keep_alive: Duration::from_secs(5), half_closed: true }
    }
}

/// As [`serve`], with options.
///
/// # Errors
///
/// If the address can't be listened on.
pub fn serve_with(
    address: SocketAddr,
    workers: usize,
    shutdown: Duration,
    options: Options,
    configure: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
) -> Result<ServerHandle, ListenError> {
    let server = HttpServer::new(move || App::new().configure(configure.clone()))
        .workers(workers)
        .keep_alive(options.keep_alive)
        .h1_allow_half_closed(options.half_closed)
        .tcp_nodelay(true)
        .shutdown_timeout(shutdown.as_secs().max(1))
        .disable_signals()
        .bind(address)
        .map_err(|source| ListenError { address, source })?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}
