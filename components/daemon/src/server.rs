//! HTTP servers without signal handlers of their own; the daemon handles signals.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};

/// An HTTP address can't be bound.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("address {address}: {source}")]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// The operating system's error.
    pub source: std::io::Error,
}

/// Starts an HTTP server on `address` with `workers` threads and the routes
/// that `configure` adds. A graceful stop through the handle waits at most
/// `shutdown` (rounded down to seconds, at least 1 s) for open connections.
///
/// # Errors
///
/// If the address can't be bound.
pub fn serve(
    address: SocketAddr,
    workers: usize,
    shutdown: Duration,
    configure: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
) -> Result<ServerHandle, ListenError> {
    serve_with(address, workers, shutdown, Options::default(), configure)
}

/// Handling of caller connections.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Idle time after which a connection is closed.
    pub keep_alive: Duration,
    /// Whether a caller that closed its sending side still gets its response.
    /// Otherwise it counts as disconnected and its request is dropped.
    pub half_closed: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options { keep_alive: Duration::from_secs(5), half_closed: true }
    }
}

/// Like [`serve`], with connection options.
///
/// # Errors
///
/// If the address can't be bound.
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
