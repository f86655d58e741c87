//! HTTP connections to backend servers: one request at a time on each.
//!
//! Unlike a general client, this one never repeats a request by itself, tells
//! what was never sent from what may have arrived, and closes the socket of a
//! request that is dropped.

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

/// How a connection fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection came about; nothing was sent.
    #[error("no connection")]
    ConnectFailed,
    /// The connection ended before the answer was whole.
    #[error("the connection broke off")]
    Broken,
    /// Nothing came in time.
    #[error("no answer in time")]
    TimedOut,
    /// What came is no head of an answer, or goes on beyond any head.
    #[error("no readable head of an answer")]
    Unreadable,
}

/// Time for a new connection. A lost opening packet is sent again only after a
/// second, so another backend server is quicker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without acknowledgement after which a connection is dead. Below the
/// two seconds after which callers give up a silent stream.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Idle time of a connection after which the kernel probes it.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Idle time after which a connection isn't used again, where the backend
/// server states none.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// Time between the orderly end of a connection and its reset: a lost packet
/// is sent again by then, and a caller's leaving has to be known at the backend
/// server within half a second.
const RESET_AFTER: Duration = Duration::from_millis(350);

/// Part of the stated idle time that is used.
const IDLE_SHARE: f64 = 0.6;

/// Largest head of an answer, and most that is read ahead of a body, in bytes.
/// The platform's servers send some hundred bytes.
const HEAD_LIMIT: usize = 64 << 10;

/// Most informational heads before that of an answer. Servers of the platform
/// send none; the standard allows any number.
const INFORMATIONAL_LIMIT: usize = 16;

/// Largest body of a report or of an order's answer, in bytes. The largest that
/// the platform describes, all counts of a rank, has some ten thousand.
const CALL_LIMIT: usize = 1 << 20;

/// A connection that serves one request at a time.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    // A second handle of the socket, to end it in two steps.
    socket: Option<Socket>,
    idle_limit: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
        if let Some(socket) = self.socket.take() {
            end(socket);
        }
    }
}

/// Ends a socket in order, which is repeated if it is lost, and resets it a
/// little later, which takes back what has not arrived.
fn end(socket: Socket) {
    // Fails if the other side was faster.
    let _ = socket.shutdown(Shutdown::Write);
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(async move {
            tokio::time::sleep(RESET_AFTER).await;
            drop(socket);
        });
    }
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<(Connection, Instant)>>>,
}

impl Pool {
    /// An idle connection that was used less than `age` ago.
    pub fn take(&self, address: SocketAddr, age: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some((connection, since)) = connections.pop() {
            let limit = connection.idle_limit.min(age);
            if connection.sender.is_ready() && since.elapsed() < limit {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer is complete.
    pub fn put(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.entry(connection.address).or_default().push((connection, Instant::now()));
    }

    /// Drops connections that are closed or idle for too long.
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

/// Opens a connection.
///
/// # Errors
///
/// [`Error::ConnectFailed`] if it doesn't come about in time.
pub async fn connect(address: SocketAddr) -> Result<Connection, Error> {
    let stream = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| Error::ConnectFailed)?.map_err(|_| Error::ConnectFailed)?;
    if let Err(error) = tune(&stream) {
        log::warn!(target: "backend", address:%, error:%; "socket options refused");
    }
    let socket = socket2::SockRef::from(&stream).try_clone().ok();
    let handshake =
        http1::Builder::new().max_buf_size(HEAD_LIMIT).handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| Error::ConnectFailed)?;
    let driver = actix_rt::spawn(async move {
        // How it ended shows at the request that was under way.
        let _ = connection.await;
    });
    Ok(Connection { address, sender, driver, socket, idle_limit: IDLE_LIMIT })
}

fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    // A request that is given up must not arrive later, from a host that stood
    // still or from behind a partition: a reset takes it back, an orderly end
    // does not.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`Error::ConnectFailed`] if nothing was sent, [`Error::Unreadable`] if
    /// what came is no head of an answer, [`Error::Broken`] otherwise.
    pub async fn send(
        &mut self,
        mut request: hyper::Request<Full<Bytes>>,
    ) -> Result<hyper::Response<Incoming>, Error> {
        let flood = Arc::new(Notify::new());
        watch_informational(&mut request, flood.clone());
        let sent = tokio::select! {
            sent = self.sender.try_send_request(request) => sent,
            () = flood.notified() => return Err(Error::Unreadable),
        };
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => Error::ConnectFailed,
            None if error.error().is_parse() => Error::Unreadable,
            None => Error::Broken,
        })
    }

    /// Notes how long the backend server keeps the connection when idle.
    pub fn set_idle_limit(&mut self, stated: Duration) {
        self.idle_limit = stated.mul_f64(IDLE_SHARE);
    }
}

/// Notifies when more informational heads have come than [`INFORMATIONAL_LIMIT`].
fn watch_informational(request: &mut hyper::Request<Full<Bytes>>, flood: Arc<Notify>) {
    let count = AtomicUsize::new(0);
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= INFORMATIONAL_LIMIT {
            flood.notify_one();
        }
    });
}

/// A small whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// Sends one request over a pool's connection and reads the whole answer.
///
/// # Errors
///
/// If the answer isn't whole in time. [`Error::ConnectFailed`] if nothing was
/// sent.
pub async fn call(
    pool: &Pool,
    address: SocketAddr,
    method: http::Method,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<Answer, Error> {
    let exchange = exchange(pool, address, method, path, body);
    actix_rt::time::timeout(timeout, exchange).await.unwrap_or(Err(Error::TimedOut))
}

async fn exchange(
    pool: &Pool,
    address: SocketAddr,
    method: http::Method,
    path: &str,
    body: Bytes,
) -> Result<Answer, Error> {
    let mut connection = match pool.take(address, Duration::MAX) {
        Some(connection) => connection,
        None => connect(address).await?,
    };
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|_| Error::ConnectFailed)?;
    let response = connection.send(request).await?;
    let status = response.status().as_u16();
    let body = http_body_util::Limited::new(response.into_body(), CALL_LIMIT).collect();
    let body = body.await.map_err(|_| Error::Broken)?.to_bytes();
    pool.put(connection);
    Ok(Answer { status, body })
}
