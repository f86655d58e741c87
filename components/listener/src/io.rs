//! Streams and bodies that record the phase of their connection.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use http_body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::Phase;
use crate::framing::Framing;

/// A connection's state, shared by its stream and its responses.
pub(crate) struct State {
    pub phase: Cell<Phase>,
    /// Whether the last write has to wait for the caller to read.
    pub is_blocked: Cell<bool>,
    /// Follows the requests in the bytes that arrive.
    pub framing: RefCell<Framing>,
}

impl State {
    /// The state of a new connection.
    pub fn new(framing: Framing) -> Rc<State> {
        let phase = Cell::new(Phase::Idle(Instant::now()));
        let framing = RefCell::new(framing);
        Rc::new(State { phase, is_blocked: Cell::new(false), framing })
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
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.socket).poll_read(cx, buffer);
        let received = &buffer.filled()[before..];
        if !received.is_empty() {
            let phase = &self.state.phase;
            phase.set(phase.get().receive(Instant::now()));
            self.state.framing.borrow_mut().receive(received);
        }
        result
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
