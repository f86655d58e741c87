//! Streams and bodies that record the phase of their connection.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use http_body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::framing::Framing;
use crate::{Bounds, Limits, Phase, Rejection};

/// Largest buffer of a connection, in bytes, unless a head needs more.
const BUFFER_MAX: usize = 16 << 10;

/// Bytes taken from a connection at a time. hyper doubles its buffer, up to the largest
/// head, whenever a read fills it.
const READ_MAX: usize = BUFFER_MAX - 1;

/// Reads after which a connection that always has bytes lets others run.
const READS_MAX: u32 = 16;

/// Size of an incomplete head up to which it is read however many others there are: it fits
/// into the first buffer of a connection.
const SMALL_HEAD: usize = 4 << 10;

/// Bytes of an incomplete head for each byte that the limit allows. The limit doesn't count
/// spaces around values, nor the scheme and host of a target.
const RAW_RATIO: usize = 2;

/// Incomplete request heads of all connections of a listener.
#[derive(Default)]
pub(crate) struct Heads {
    size: Cell<usize>,
}

/// A connection's state, shared by its stream and its responses.
pub(crate) struct State {
    pub phase: Cell<Phase>,
    /// Whether the last write has to wait for the caller to read.
    pub is_blocked: Cell<bool>,
    /// Follows the requests in the bytes that arrive.
    pub framing: RefCell<Framing>,
    /// Reason for which nothing more is read.
    pub rejection: Cell<Option<Rejection>>,
    bounds: Bounds,
    heads: Rc<Heads>,
    /// Bytes of the incomplete head that count in `heads`.
    head_size: Cell<usize>,
    /// Reads since the connection last waited for bytes.
    reads: Cell<u32>,
}

impl Drop for State {
    fn drop(&mut self) {
        self.heads.size.set(self.heads.size.get() - self.head_size.get());
    }
}

impl State {
    /// The state of a new connection.
    pub fn new(framing: Framing, bounds: Bounds, heads: Rc<Heads>) -> Rc<State> {
        Rc::new(State {
            phase: Cell::new(Phase::Idle(Instant::now())),
            is_blocked: Cell::new(false),
            framing: RefCell::new(framing),
            rejection: Cell::new(None),
            bounds,
            heads,
            head_size: Cell::new(0),
            reads: Cell::new(0),
        })
    }

    /// Follows bytes that arrived.
    ///
    /// # Errors
    ///
    /// If nothing more may be read.
    fn receive(&self, received: &[u8], limits: &dyn Fn() -> Limits) -> Result<(), Rejection> {
        self.phase.set(self.phase.get().receive(Instant::now()));
        let mut framing = self.framing.borrow_mut();
        framing.receive(received);
        let size = framing.head_size();
        let others = self.heads.size.get() - self.head_size.replace(size);
        self.heads.size.set(others + size);
        if framing.has_excess_lines() {
            return Err(Rejection::EmptyLines);
        }
        if size == 0 {
            return Ok(());
        }
        let limit = limits().head;
        if size > limit.saturating_mul(RAW_RATIO) {
            return Err(Rejection::Large { limit });
        }
        if size > SMALL_HEAD && others > 0 && others + size > self.bounds.heads {
            return Err(Rejection::Crowded);
        }
        Ok(())
    }

    /// Whether nothing is due from either side.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase.get(), Phase::Idle(_)) && !self.is_blocked.get()
    }

    /// Records the result of a write. A response may be written long after its body was
    /// dropped.
    fn record_write<T>(&self, result: &Poll<T>) {
        self.is_blocked.set(result.is_pending());
        if result.is_ready() && matches!(self.phase.get(), Phase::Idle(_)) {
            self.phase.set(Phase::Idle(Instant::now()));
        }
    }
}

/// A stream that records when bytes arrive and whether they can be written.
pub(crate) struct Stream {
    pub socket: TcpStream,
    pub state: Rc<State>,
    /// Returns the limits in force.
    pub limits: Box<dyn Fn() -> Limits>,
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let reads = self.state.reads.replace(0);
        if reads >= READS_MAX {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut part = buffer.take(READ_MAX);
        ready!(Pin::new(&mut self.socket).poll_read(cx, &mut part))?;
        let size = part.filled().len();
        // SAFETY: the socket has initialized the part that it has filled.
        unsafe { buffer.assume_init(size) };
        let before = buffer.filled().len();
        buffer.advance(size);
        if size == 0 {
            return Poll::Ready(Ok(()));
        }
        self.state.reads.set(reads + 1);
        let received = &buffer.filled()[before..];
        Poll::Ready(self.state.receive(received, &self.limits).map_err(|rejection| {
            self.state.rejection.set(Some(rejection));
            io::ErrorKind::InvalidData.into()
        }))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write(cx, bytes);
        self.state.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write_vectored(cx, slices);
        self.state.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The response to a rejected head is still to be sent.
        let rejection = self.state.rejection.take();
        let is_rejected = rejection.is_some();
        self.state.rejection.set(rejection);
        if is_rejected {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

/// A response body. The connection is idle once it has been dropped and written.
pub(crate) struct Response<B> {
    pub body: Option<Pin<Box<B>>>,
    pub state: Rc<State>,
}

impl<B> Drop for Response<B> {
    fn drop(&mut self) {
        self.state.phase.set(Phase::Idle(Instant::now()));
    }
}

impl<B: Body> Body for Response<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        match &mut self.body {
            Some(body) => body.as_mut().poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(|body| body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.body.as_ref().map_or(SizeHint::with_exact(0), |body| body.size_hint())
    }
}
