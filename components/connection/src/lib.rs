//! HTTP/1.1 connections to backend servers, each with one request at a time.
//!
//! Unlike a general-purpose client, this one never retries a request, reports
//! whether a failed request may have reached the server, and closes the socket
//! when a request is dropped.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::Socket;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Failures of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened; nothing was sent.
    #[error("connection failed before the request was sent")]
    ConnectFailed,
    /// The connection closed before the response was complete.
    #[error("the connection broke off")]
    Broken,
    /// No complete response arrived before the timeout.
    #[error("no complete response before the timeout")]
    TimedOut,
    /// The response head is malformed, has the status code of no final response, or exceeds
    /// a limit.
    #[error("response head is malformed or too large")]
    Unreadable,
}

/// Timeouts of a connection to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time for opening the connection.
    pub connect: Duration,
    /// TCP user timeout: time without acknowledgement after which the connection is
    /// dead. `None` leaves it to the system.
    pub user: Option<Duration>,
    /// Idle time after which the connection isn't reused, if the backend server states no
    /// limit.
    pub idle: Duration,
}

impl Default for Timeouts {
    /// Timeouts for a backend server on another host. A lost SYN is retransmitted only
    /// after a second, so trying another backend server is faster. Callers abort a stream
    /// after two seconds without events.
    fn default() -> Timeouts {
        let user = Some(Duration::from_millis(1500));
        Timeouts { connect: Duration::from_millis(300), user, idle: Duration::from_secs(3) }
    }
}

/// Timeout of [`probe`]. A host that is up answers within milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Idle time after which the kernel probes a connection, and the interval of the
/// probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between the FIN and the RST of a closed connection. It allows for one
/// retransmission; the backend server must see a caller's disconnect within half a
/// second.
const RESET_DELAY: Duration = Duration::from_millis(350);

/// Fraction of the backend server's stated idle time during which a connection is
/// reused.
const IDLE_SHARE: f64 = 0.6;

/// Largest response head and largest read-ahead of a body, in bytes. Heads of the
/// platform's servers have a few hundred bytes.
const HEAD_LIMIT: usize = 64 << 10;

/// Largest number of informational (1xx) responses before the final one. The
/// platform's servers send none; the standard allows any number.
const INFORMATIONAL_LIMIT: usize = 16;

/// Largest response body of [`call`], in bytes. The largest one that the platform
/// specifies, with all counts of a rank, has some ten thousand bytes.
const CALL_BODY_LIMIT: usize = 1 << 20;

/// A connection that serves one request at a time.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    // A duplicate of the socket, which sends FIN and RST at separate times.
    socket: Option<Socket>,
    idle_limit: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
        if let Some(socket) = self.socket.take() {
            close(socket);
        }
    }
}

/// Closes a socket in two steps. A FIN is sent at once and retransmitted if lost;
/// an RST after [`RESET_DELAY`] discards data that has not arrived yet.
fn close(socket: Socket) {
    // Fails if the peer has closed the connection already.
    let _ = socket.shutdown(Shutdown::Write);
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(async move {
            tokio::time::sleep(RESET_DELAY).await;
            drop(socket);
        });
    }
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    timeouts: Timeouts,
    idle: RefCell<HashMap<SocketAddr, Vec<(Connection, Instant)>>>,
}

impl Pool {
    /// A pool without connections. New ones have these timeouts.
    ///
    /// ```
    /// use connection::{Pool, Timeouts};
    /// let pool = Pool::new(Timeouts { user: None, ..Timeouts::default() });
    /// pool.sweep();
    /// ```
    pub fn new(timeouts: Timeouts) -> Pool {
        Pool { timeouts, ..Pool::default() }
    }

    /// Sends a request over a connection that was last used less than `max_idle` ago, or
    /// over a new one, and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// See [`Connection::send`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: hyper::Request<Full<Bytes>>,
        max_idle: Duration,
    ) -> Result<(Connection, hyper::Response<Incoming>), Error> {
        if let Some(mut connection) = self.take(address, max_idle) {
            match connection.send(request.clone()).await {
                // Closed while idle; nothing was sent.
                Err(Error::ConnectFailed) => {}
                result => return result.map(|response| (connection, response)),
            }
        }
        let mut connection = open(address, self.timeouts).await?;
        let response = connection.send(request).await?;
        Ok((connection, response))
    }

    /// Takes an idle connection that was last used less than `max_idle` ago.
    pub fn take(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some((connection, since)) = connections.pop() {
            let limit = connection.idle_limit.min(max_idle);
            if connection.sender.is_ready() && since.elapsed() < limit {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection whose response is complete to the pool.
    pub fn put(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.entry(connection.address).or_default().push((connection, Instant::now()));
    }

    /// Drops connections that are closed or exceed their idle limit.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|(connection, since)| {
                !connection.sender.is_closed() && since.elapsed() < connection.idle_limit
            });
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Opens a connection to a backend server.
///
/// # Errors
///
/// [`Error::ConnectFailed`] if it fails or times out.
pub async fn connect(address: SocketAddr) -> Result<Connection, Error> {
    open(address, Timeouts::default()).await
}

async fn open(address: SocketAddr, timeouts: Timeouts) -> Result<Connection, Error> {
    let stream = actix_rt::time::timeout(timeouts.connect, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| Error::ConnectFailed)?.map_err(|_| Error::ConnectFailed)?;
    handshake(address, stream, timeouts).await
}

async fn handshake(
    address: SocketAddr,
    stream: TcpStream,
    timeouts: Timeouts,
) -> Result<Connection, Error> {
    if let Err(error) = set_options(&stream, timeouts) {
        log::warn!(target: "backend", address:%, error:%; "socket options could not be set");
    }
    let socket = socket2::SockRef::from(&stream).try_clone().ok();
    let handshake =
        http1::Builder::new().max_buf_size(HEAD_LIMIT).handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| Error::ConnectFailed)?;
    let driver = actix_rt::spawn(async move {
        // Errors are reported to the request in flight.
        let _ = connection.await;
    });
    Ok(Connection { address, sender, driver, socket, idle_limit: timeouts.idle })
}

/// Result of [`probe`].
pub enum Probe {
    /// The port is closed: no process listens.
    Refused,
    /// The backend server accepted this connection.
    Accepted(Connection),
    /// There was no answer, or the connection failed for another reason.
    Unanswered,
}

/// Checks whether a backend server accepts connections.
pub async fn probe(address: SocketAddr) -> Probe {
    match actix_rt::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            let connection = handshake(address, stream, Timeouts::default()).await;
            connection.map_or(Probe::Unanswered, Probe::Accepted)
        }
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => Probe::Refused,
        _ => Probe::Unanswered,
    }
}

fn set_options(stream: &TcpStream, timeouts: Timeouts) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    // An aborted request must not arrive later, after a host freeze or a network
    // partition. An RST discards data in flight; a FIN does not.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(timeouts.user)?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// [`Error::ConnectFailed`] if nothing was sent, [`Error::Unreadable`] if the
    /// response head is malformed, too large, preceded by too many informational
    /// responses or has the status code of no final response, [`Error::Broken`] otherwise.
    pub async fn send(
        &mut self,
        mut request: hyper::Request<Full<Bytes>>,
    ) -> Result<hyper::Response<Incoming>, Error> {
        let exceeded = Arc::new(Notify::new());
        limit_informational(&mut request, exceeded.clone());
        let sent = tokio::select! {
            sent = self.sender.try_send_request(request) => sent,
            () = exceeded.notified() => return Err(Error::Unreadable),
        };
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => Error::ConnectFailed,
            None if error.error().is_parse() => Error::Unreadable,
            None => Error::Broken,
        })?;
        if is_final(response.status()) { Ok(response) } else { Err(Error::Unreadable) }
    }

    /// Sets the idle limit from the idle time that the backend server states.
    pub fn set_idle_limit(&mut self, stated: Duration) {
        self.idle_limit = stated.mul_f64(IDLE_SHARE);
    }
}

/// Whether a status code is one of a final response: RFC 9110 defines 200 to 599 for these.
/// 101 switches to another protocol, which no request asks for.
fn is_final(status: http::StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Notifies `exceeded` if the request gets more than [`INFORMATIONAL_LIMIT`]
/// informational responses.
fn limit_informational(request: &mut hyper::Request<Full<Bytes>>, exceeded: Arc<Notify>) {
    let count = AtomicUsize::new(0);
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= INFORMATIONAL_LIMIT {
            exceeded.notify_one();
        }
    });
}

/// A complete response with a small body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Sends one request over a pooled or new connection and reads the whole response.
///
/// # Errors
///
/// If no complete response arrives before the timeout or its body exceeds 1 MiB;
/// [`Error::ConnectFailed`] if nothing was sent.
pub async fn call(
    pool: &Pool,
    address: SocketAddr,
    method: http::Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<Reply, Error> {
    let exchange = exchange(pool, address, method, path, body);
    actix_rt::time::timeout(timeout, exchange).await.unwrap_or(Err(Error::TimedOut))
}

async fn exchange(
    pool: &Pool,
    address: SocketAddr,
    method: http::Method,
    path: &str,
    body: Bytes,
) -> Result<Reply, Error> {
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|_| Error::ConnectFailed)?;
    let (connection, response) = pool.send(address, request, Duration::MAX).await?;
    let status = response.status().as_u16();
    let body = http_body_util::Limited::new(response.into_body(), CALL_BODY_LIMIT).collect();
    let body = body.await.map_err(|_| Error::Broken)?.to_bytes();
    pool.put(connection);
    Ok(Reply { status, body })
}
