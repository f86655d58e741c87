//! Connections of the HTTP servers.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_rt::net::TcpStream;
use actix_rt::time::{Instant, Sleep, sleep_until};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes that are read before other connections get their turn. Bounds what
/// is decoded at once: a chunk of one byte takes 32 bytes in the decoder's queue.
const READ_MAX: usize = 16 << 10;

/// What the requests of a connection tell its reader.
pub struct Requests {
    open: Cell<usize>,
    idle_since: Cell<Instant>,
}

/// An open request of a connection.
pub struct Open(Rc<Requests>);

impl Requests {
    /// Counts a request as open until the result is dropped.
    pub fn open(self: Rc<Self>) -> Open {
        self.open.set(self.open.get() + 1);
        Open(self)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.idle_since.set(Instant::now());
    }
}

/// A TCP connection that ends when it has had no open request for too long. The
/// server's own time limit covers only the first head of a connection.
pub struct Connection {
    stream: TcpStream,
    requests: Rc<Requests>,
    idle_limit: Duration,
    timer: Pin<Box<Sleep>>,
    /// Bytes read since the reader last waited.
    taken: usize,
}

impl Connection {
    /// Wraps a connection that may be without an open request for `idle_limit`.
    pub fn new(stream: TcpStream, idle_limit: Duration) -> Connection {
        let now = Instant::now();
        let requests = Requests { open: Cell::new(0), idle_since: Cell::new(now) };
        let timer = Box::pin(sleep_until(now + idle_limit));
        Connection { stream, requests: Rc::new(requests), idle_limit, timer, taken: 0 }
    }

    /// The requests of the connection.
    pub fn requests(&self) -> Rc<Requests> {
        self.requests.clone()
    }

    /// Ready when the connection has been without an open request for too long.
    fn poll_idle(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.timer.as_mut().poll(context));
            let is_open = self.requests.open.get() > 0;
            let since = if is_open { Instant::now() } else { self.requests.idle_since.get() };
            let due = since + self.idle_limit;
            if due <= Instant::now() {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(due);
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.poll_idle(context).is_ready() {
            // The end of the stream.
            return Poll::Ready(Ok(()));
        }
        if this.taken >= READ_MAX {
            this.taken = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut this.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        this.taken = if result.is_pending() { 0 } else { this.taken + read };
        result
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, data)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
