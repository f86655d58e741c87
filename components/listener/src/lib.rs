//! HTTP/1.1 listener for callers whose limits may change while connections are open.
//!
//! The limits come from a closure that is asked each time, so that those of the
//! configuration in force decide on heads, idle connections and their timeouts.

mod connection;
pub mod framing;
mod io;
mod phase;

use std::net::{SocketAddr, TcpListener as Socket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http_body::Body;
use hyper::body::Incoming;
use hyper::{Request, Response};
use socket2::{Domain, Protocol, Type};
use tokio::net::TcpListener;
use tokio::sync::watch;

pub use connection::Rejection;
pub use phase::{Limits, Phase};

use connection::Connection;
use io::Heads;

/// Connections that the kernel accepts before the process does.
const BACKLOG: i32 = 1024;

/// Pause after a failure to accept a connection, such as a lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Bounds on what all connections of a listener use together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections that are open. Further ones get 503 and are closed.
    pub connections: usize,
    /// Bytes of incomplete request heads.
    pub heads: usize,
}

/// Behaviour of a listener, on its own thread.
pub struct Handler<S> {
    /// Bounds on what all connections use together.
    pub bounds: Bounds,
    /// Returns the limits in force.
    pub limits: Box<dyn Fn() -> Limits>,
    /// Called for each request that is rejected before it is complete.
    pub on_rejection: Box<dyn Fn(Rejection)>,
    /// Responds to a request.
    pub respond: S,
}

/// A running listener. It stops when dropped.
///
/// ```
/// use std::time::Duration;
/// use bytes::Bytes;
/// use http_body_util::Full;
/// use listener::{Bounds, Handler, Limits, Listener};
///
/// let limits = Limits {
///     head: 16_384,
///     head_time: Duration::from_secs(3),
///     idle_time: Duration::from_secs(15),
/// };
/// actix_rt::System::new().block_on(async move {
///     let listener = Listener::start(([127, 0, 0, 1], 0).into(), move || Handler {
///         bounds: Bounds { connections: 1000, heads: 1 << 20 },
///         limits: Box::new(move || limits),
///         on_rejection: Box::new(|rejection| eprintln!("{rejection}")),
///         respond: |_| async { hyper::Response::new(Full::new(Bytes::from("hello"))) },
///     })
///     .unwrap();
///     assert_eq!(listener.open(), 0);
///     listener.stop();
/// });
/// ```
pub struct Listener {
    stop: watch::Sender<bool>,
    open: Arc<AtomicUsize>,
}

impl Listener {
    /// Binds an address and serves it on a thread of its own, with the handler that
    /// `start` creates on that thread.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn start<S, F, B>(
        address: SocketAddr,
        start: impl FnOnce() -> Handler<S> + Send + 'static,
    ) -> std::io::Result<Listener>
    where
        S: Fn(Request<Incoming>) -> F + 'static,
        F: Future<Output = Response<B>> + 'static,
        B: Body + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let socket = bind(address)?;
        let (stop, stopped) = watch::channel(false);
        let open = Arc::new(AtomicUsize::new(0));
        let counted = open.clone();
        let arbiter = actix_rt::Arbiter::new();
        arbiter.spawn_fn(move || {
            let handler = Rc::new(start());
            actix_rt::spawn(accept(socket, handler, stopped, counted));
        });
        Ok(Listener { stop, open })
    }

    /// Closes the socket and idle connections, and each other connection after its
    /// response.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

fn bind(address: SocketAddr) -> std::io::Result<Socket> {
    let domain = Domain::for_address(address);
    let socket = socket2::Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Counts a connection as open until it is dropped.
struct Open(Arc<AtomicUsize>);

impl Open {
    fn new(count: &Arc<AtomicUsize>) -> Open {
        count.fetch_add(1, Ordering::Relaxed);
        Open(count.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn accept<S, F, B>(
    socket: Socket,
    handler: Rc<Handler<S>>,
    mut stopped: watch::Receiver<bool>,
    open: Arc<AtomicUsize>,
) where
    S: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let listener = match TcpListener::from_std(socket) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(target: "callers", error:%; "the listener can't be served");
            return;
        }
    };
    let heads = Rc::<Heads>::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // An error means that the listener was dropped.
            _ = stopped.wait_for(|stopped| *stopped) => return,
        };
        let socket = match accepted {
            Ok((socket, _)) => socket,
            Err(error) => {
                log::warn!(target: "callers", error:%; "accepting a connection failed");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= handler.bounds.connections {
            connection::send(&socket, &Rejection::Crowded);
            (handler.on_rejection)(Rejection::Crowded);
            continue;
        }
        let connection =
            Connection { handler: handler.clone(), stopped: stopped.clone(), heads: heads.clone() };
        let open = Open::new(&open);
        actix_rt::spawn(async move {
            connection.serve(socket).await;
            drop(open);
        });
    }
}
