//! Serves one connection.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use http_body::Body;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::server::conn::http1::{self, Builder};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use crate::framing::{Framing, Length};
use crate::io::{self, Heads, State, Stream};
use crate::{Handler, Limits, Phase};

/// Least size of the buffer for a request head, in bytes. It is allocated as bytes
/// arrive, and allows for limits that are raised while the connection is open.
const HEAD_BUFFER_MIN: usize = 1 << 20;

/// Bytes that are read and discarded after the last response, and the time for it. If a
/// socket is closed with unread bytes, the system resets the connection, and the caller may
/// lose the response.
const DISCARD_MAX: usize = 4 << 20;
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// Bytes that are discarded at a time.
const DISCARD_PART: usize = 8 << 10;

/// Bytes of the shortest header field with its delimiters.
const FIELD_BYTES_MIN: usize = 4;

/// Largest number of header fields: the capacity of `http::HeaderMap`.
const FIELDS_MAX: usize = 24_000;

/// Bytes of a request line and of a header field besides their parts.
const REQUEST_LINE_EXTRA: usize = " / HTTP/1.1\r\n\r\n".len();
const FIELD_EXTRA: usize = ": \r\n".len();

/// A request that was rejected before its head was complete and valid.
#[derive(Debug, thiserror::Error)]
pub enum Rejection {
    /// The head did not arrive in time.
    #[error("the request head is incomplete after the time allowed")]
    Late,
    /// The head exceeds a limit.
    #[error("the request head exceeds the limit of {limit} bytes")]
    Large {
        /// The limit in force, in bytes.
        limit: usize,
    },
    /// The head is not valid HTTP/1.1.
    #[error("the request head is malformed: {0}")]
    Malformed(hyper::Error),
    /// The end of the request is uncertain: it states both a length and chunks, or
    /// several lengths.
    #[error("the length of the request is ambiguous")]
    Ambiguous,
    /// Empty lines without end came before a request.
    #[error("too many empty lines before a request")]
    EmptyLines,
    /// The connections or the incomplete heads of others leave no room.
    #[error("connections or incomplete request heads exceed their bound")]
    Crowded,
}

impl Rejection {
    /// Label of the reason in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Rejection::Late => "late",
            Rejection::Large { .. } => "large",
            Rejection::Malformed(_) => "malformed",
            Rejection::Ambiguous => "ambiguous",
            Rejection::EmptyLines => "empty_lines",
            Rejection::Crowded => "crowded",
        }
    }

    /// The HTTP status that tells the caller.
    ///
    /// ```
    /// assert_eq!(listener::Rejection::Late.status(), 408);
    /// ```
    pub fn status(&self) -> u16 {
        match self {
            Rejection::Late => 408,
            Rejection::Large { .. } => 431,
            Rejection::Malformed(_) | Rejection::Ambiguous | Rejection::EmptyLines => 400,
            Rejection::Crowded => 503,
        }
    }
}

/// What the requests of a connection need to know of it.
struct Accepted {
    state: Rc<State>,
    /// The limits when it was accepted.
    limits: Limits,
    /// Whether the listener stops.
    stopped: watch::Receiver<bool>,
}

/// How a connection ended.
enum End {
    /// By the caller, or after an error.
    Closed(hyper::Result<()>),
    /// Its phase lasted too long.
    Expired(Phase),
    /// The listener stops.
    Stopped,
}

pub(crate) struct Connection<S> {
    pub handler: Rc<Handler<S>>,
    pub stopped: watch::Receiver<bool>,
    /// Incomplete heads of all connections.
    pub heads: Rc<Heads>,
}

impl<S, F, B> Connection<S>
where
    S: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Serves requests until either side closes the connection.
    pub async fn serve(mut self, socket: TcpStream) {
        // Fails if the caller has closed the connection.
        let _ = socket.set_nodelay(true);
        let (handler, limits) = (self.handler.clone(), (self.handler.limits)());
        let framing = Framing::new(fields_max(&limits));
        let state = State::new(framing, handler.bounds, self.heads.clone());
        let asked = handler.clone();
        let stream = TokioIo::new(Stream {
            socket,
            state: state.clone(),
            limits: Box::new(move || (asked.limits)()),
        });
        let served = state.clone();
        let stopped = self.stopped.clone();
        let service = service_fn(move |request| {
            served.phase.set(Phase::Request);
            let accepted = Accepted { state: served.clone(), limits, stopped: stopped.clone() };
            respond(handler.clone(), accepted, request)
        });
        let mut connection = builder(&limits).serve_connection(stream, service);
        loop {
            match self.run(&mut connection, &state).await {
                End::Closed(result) => {
                    // hyper hides the error if no head has begun.
                    let rejection = state.rejection.take();
                    let is_within = matches!(state.phase.get(), Phase::Request);
                    let is_unread = state.framing.borrow().is_within_body();
                    let socket = connection.into_parts().io.into_inner().socket;
                    match (rejection, result) {
                        (None, Ok(())) if is_unread => discard(socket).await,
                        (None, Ok(())) => {}
                        (None, Err(error)) => self.report(error),
                        // The response may have begun.
                        (Some(rejection), _) if is_within => {
                            (self.handler.on_rejection)(rejection);
                        }
                        (Some(rejection), _) => {
                            send(&socket, &rejection);
                            (self.handler.on_rejection)(rejection);
                            discard(socket).await;
                        }
                    }
                    return;
                }
                End::Expired(Phase::Head(_)) => {
                    send(&connection.into_parts().io.into_inner().socket, &Rejection::Late);
                    return (self.handler.on_rejection)(Rejection::Late);
                }
                // hyper would close a kept connection without reading the rest of the
                // head. `respond` closes it with the response.
                End::Stopped if matches!(state.phase.get(), Phase::Head(_)) => {}
                End::Stopped if !state.is_idle() => {
                    Pin::new(&mut connection).graceful_shutdown();
                }
                End::Expired(_) | End::Stopped => return,
            }
        }
    }

    /// Polls the connection until it is closed, expires or, once, must stop.
    async fn run<C>(&mut self, connection: &mut C, state: &State) -> End
    where
        C: Future<Output = hyper::Result<()>> + Unpin,
    {
        let mut timer = pin!(sleep_until(Instant::now()));
        let served = poll_fn(|cx| {
            if let Poll::Ready(result) = Pin::new(&mut *connection).poll(cx) {
                return Poll::Ready(End::Closed(result));
            }
            let phase = state.phase.get();
            let Some(expires) = phase.expires(&(self.handler.limits)()) else {
                return Poll::Pending;
            };
            if timer.deadline() != expires {
                timer.as_mut().reset(expires);
            }
            timer.as_mut().poll(cx).map(|()| End::Expired(phase))
        });
        tokio::select! {
            end = served => end,
            // Doesn't complete again after the value was seen.
            Ok(()) = self.stopped.changed() => End::Stopped,
        }
    }

    /// Reports a request that the connection rejected by itself.
    fn report(&self, error: hyper::Error) {
        if error.is_parse_too_large() {
            let limit = (self.handler.limits)().head;
            (self.handler.on_rejection)(Rejection::Large { limit });
        } else if error.is_parse() {
            (self.handler.on_rejection)(Rejection::Malformed(error));
        }
        // Other errors: the caller closed the connection, or a response was aborted.
    }
}

/// Largest number of fields in a head of the size allowed.
fn fields_max(limits: &Limits) -> usize {
    (limits.head / FIELD_BYTES_MIN).min(FIELDS_MAX)
}

fn builder(limits: &Limits) -> Builder {
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(limits.head.max(HEAD_BUFFER_MIN))
        .max_headers(fields_max(limits))
        // A caller that closes its sending side has left.
        .half_close(false);
    builder
}

async fn respond<S, F, B>(
    handler: Rc<Handler<S>>,
    connection: Accepted,
    request: Request<Incoming>,
) -> Result<Response<io::Response<B>>, Infallible>
where
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body,
{
    let Accepted { state, limits, stopped } = connection;
    let length = state.framing.borrow_mut().take();
    let mut response = match check_head(&request, length, (handler.limits)().head) {
        Ok(()) => (handler.respond)(request).await.map(Some),
        Err(rejection) => {
            let response = reject(&rejection);
            (handler.on_rejection)(rejection);
            response
        }
    };
    // The next connection gets buffers for a raised limit.
    let is_outgrown = (handler.limits)().head > limits.head;
    if is_outgrown || *stopped.borrow() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| io::Response { body: body.map(Box::pin), state }))
}

/// Checks a head that hyper has accepted. `length` is that of its body according to the
/// bytes of the head, `limit` the size of the head in bytes.
fn check_head<B>(
    request: &Request<B>,
    length: Option<Length>,
    limit: usize,
) -> Result<(), Rejection> {
    if length != Some(Length::Certain) {
        return Err(Rejection::Ambiguous);
    }
    if head_size(request) > limit {
        return Err(Rejection::Large { limit });
    }
    Ok(())
}

/// The response to a rejected request. The rest of the connection is not read.
fn reject<B>(rejection: &Rejection) -> Response<Option<B>> {
    let mut response = Response::new(None);
    *response.status_mut() = StatusCode::from_u16(rejection.status()).unwrap_or_default();
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Size of a request head, in bytes, with the shortest delimiters.
fn head_size<B>(request: &Request<B>) -> usize {
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let line = request.method().as_str().len() + target + REQUEST_LINE_EXTRA;
    let field = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + FIELD_EXTRA
    };
    line + request.headers().iter().map(field).sum::<usize>()
}

/// Reads what the caller still sends, until it closes the connection or a bound is reached.
async fn discard(mut socket: TcpStream) {
    // Fails if the caller has closed the connection.
    let _ = socket.shutdown().await;
    let discarded = async {
        let mut size = 0;
        while size < DISCARD_MAX && socket.readable().await.is_ok() {
            match socket.try_read(&mut [0; DISCARD_PART]) {
                Ok(0) => return,
                Ok(part) => size += part,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
            // Others run between parts.
            tokio::task::yield_now().await;
        }
    };
    // The bound on time is no failure.
    let _ = timeout(DISCARD_TIME, discarded).await;
}

/// Tells the caller that its request was not read and will not be.
pub(crate) fn send(socket: &TcpStream, rejection: &Rejection) {
    let status = StatusCode::from_u16(rejection.status()).unwrap_or_default();
    let response = format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
    // Fails if the caller has closed the connection or doesn't read.
    let _ = socket.try_write(response.as_bytes());
}
