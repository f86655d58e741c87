//! HTTP servers without signal handlers of their own; the daemon handles signals.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_rt::net::TcpStream;
use actix_server::ServerBuilder;
use actix_service::{ServiceFactoryExt, fn_service, map_config};
use actix_web::body::MessageBody;
use actix_web::dev::{AppConfig, ServerHandle, ServiceRequest, ServiceResponse};
use actix_web::http::KeepAlive;
use actix_web::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_web::middleware::{self, Next};
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpResponse};

use crate::connection::{Connection, Requests};
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

/// Time for a client to close its side of a connection that is closed early.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

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
    let builder = ServerBuilder::default();
    let stopping = builder.graceful_shutdown_signal();
    let keep_alive = options.keep_alive.map_or(KeepAlive::Disabled, KeepAlive::Timeout);
    let idle_limit = options.keep_alive.unwrap_or_default() + options.head_timeout;
    let factory = move || {
        let stopping = stopping.clone();
        let check = move |request, next| serve_request(options.bodies, request, next);
        let app = App::new().wrap(middleware::from_fn(check)).configure(configure.clone());
        let http = HttpService::build()
            .graceful_shutdown_signal(move || {
                let stopping = stopping.clone();
                async move { stopping.notified().await }
            })
            .keep_alive(keep_alive)
            .client_request_timeout(options.head_timeout)
            .client_disconnect_timeout(DISCONNECT_TIMEOUT)
            .h1_allow_half_closed(options.half_closed)
            .local_addr(address)
            .on_connect_ext(|connection: &Connection, data| {
                data.insert(connection.requests());
            })
            .h1(map_config(app, |_| AppConfig::default()));
        fn_service(move |stream: TcpStream| async move {
            let peer = stream.peer_addr().ok();
            if let Err(error) = stream.set_nodelay(true) {
                log::debug!("TCP_NODELAY can't be set: {error}");
            }
            Ok((Connection::new(stream, idle_limit), peer))
        })
        .and_then(http)
    };
    let server = builder
        .workers(workers)
        .backlog(BACKLOG)
        .max_concurrent_connections(options.connections.div_ceil(workers.max(1)))
        .shutdown_timeout(shutdown.as_secs().max(1))
        .disable_signals()
        .bind("http", address, factory)
        .map_err(|source| ListenError { address, source })?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

/// Serves a request, which its connection counts as open. A request with a body
/// is refused if the listener takes none.
async fn serve_request(
    bodies: bool,
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse, actix_web::Error> {
    let open = request.conn_data::<Rc<Requests>>().cloned().map(Requests::open);
    if bodies || !has_body(&request) {
        let response = next.call(request).await?.map_into_boxed_body();
        return Ok(response.map_body(|_, body| unread::hold(body, open)));
    }
    let (request, payload) = request.into_parts();
    let response = HttpResponse::PayloadTooLarge().finish();
    Ok(ServiceResponse::new(request, unread::close_after(response, payload)))
}

fn has_body(request: &ServiceRequest) -> bool {
    let headers = request.headers();
    let length = headers.get(CONTENT_LENGTH);
    headers.contains_key(TRANSFER_ENCODING) || length.is_some_and(|length| length != "0")
}
