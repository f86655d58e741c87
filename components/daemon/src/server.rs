//! HTTP servers without signal handlers of their own; the daemon handles signals.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::body::MessageBody;
use actix_web::dev::{ServerHandle, ServiceRequest, ServiceResponse};
use actix_web::http::KeepAlive;
use actix_web::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_web::middleware::{self, Next};
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpResponse, HttpServer};

use crate::unread;

/// An HTTP address can't be bound.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("address {address}: {source}")]
pub struct ListenError {
    /// The address.
    pub address: SocketAddr,
    /// The operating system's error.
    pub source: std::io::Error,
}

/// Most connections to a listener for operators. Further ones wait to be
/// accepted. An endless head takes up to 140 kB, so that all take 9 MB.
const OPERATIONS_CONNECTIONS: usize = 64;
/// Time limit for a head at a listener for operators. Its clients are few and
/// near, and their requests fit into one packet.
const OPERATIONS_HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts an HTTP server for operators on `address` with `workers` threads and
/// the routes that `configure` adds. Requests with a body are refused, and a
/// connection serves one request, since the time limit for heads covers only the
/// first one. A graceful stop through the handle waits at most `shutdown`
/// (rounded down to seconds, at least 1 s) for open connections.
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
    let options = Options {
        keep_alive: None,
        head_timeout: OPERATIONS_HEAD_TIMEOUT,
        connections: OPERATIONS_CONNECTIONS,
        bodies: false,
        ..Options::default()
    };
    serve_with(address, workers, shutdown, options, configure)
}

/// Handling of connections.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Idle time after which a connection is closed; `None` to serve one request
    /// for each connection.
    pub keep_alive: Option<Duration>,
    /// Time limit for the first head of a connection.
    pub head_timeout: Duration,
    /// Most open connections; further ones wait to be accepted.
    pub connections: usize,
    /// Whether requests may have a body.
    pub bodies: bool,
    /// Whether a caller that closed its sending side still gets its response.
    /// Otherwise it counts as disconnected and its request is dropped.
    pub half_closed: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            keep_alive: Some(Duration::from_secs(5)),
            head_timeout: Duration::from_secs(5),
            connections: 512,
            bodies: true,
            half_closed: true,
        }
    }
}

/// Like [`serve`], for callers, with connection options.
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
    let app = move || {
        let check = move |request, next| check_body(options.bodies, request, next);
        App::new().wrap(middleware::from_fn(check)).configure(configure.clone())
    };
    let server = HttpServer::new(app)
        .workers(workers)
        .max_connections(options.connections.div_ceil(workers.max(1)))
        .client_request_timeout(options.head_timeout)
        .keep_alive(options.keep_alive.map_or(KeepAlive::Disabled, KeepAlive::Timeout))
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

/// Refuses a request with a body if the listener takes none.
async fn check_body(
    bodies: bool,
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse, actix_web::Error> {
    if bodies || !has_body(&request) {
        return Ok(next.call(request).await?.map_into_boxed_body());
    }
    let (request, payload) = request.into_parts();
    let response = unread::close_after(HttpResponse::PayloadTooLarge().finish(), payload);
    Ok(ServiceResponse::new(request, response))
}

fn has_body(request: &ServiceRequest) -> bool {
    let headers = request.headers();
    let length = headers.get(CONTENT_LENGTH);
    headers.contains_key(TRANSFER_ENCODING) || length.is_some_and(|length| length != "0")
}
