//! HTTP calls to the backend server, reported as events.

use std::error::Error as _;
use std::time::Duration;

use admission::gate::Event;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use tables::{Name, PoolKind};
use wire::Dispatch;

use crate::client::Client;

/// Content type of streamed answers.
const EVENT_STREAM: &str = "text/event-stream";
/// Terminator of a server-sent event.
const EVENT_END: &[u8] = b"\n\n";
/// Maximum size of an incomplete server-sent event, in bytes.
const PENDING_EVENT_MAX_BYTES: usize = 1 << 20;
/// Header with the number of tokens already received from an interrupted stream.
const RESUME_HEADER: &str = "x-resume-tokens";
/// Time by which a call may exceed its deadline. The entry cancels calls before
/// that where it may; answers of calls that can't be cancelled are still recorded.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);
/// Last event of a model engine's stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
/// Status of a model engine that is still starting and accepts no requests.
const UNAVAILABLE: u16 = 503;
/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Response headers that apply only to the connection and aren't forwarded.
const CONNECTION_HEADERS: [&str; 6] =
    ["connection", "content-length", "keep-alive", "te", "trailer", "transfer-encoding"];

/// Idle time up to which a connection is reused for a request that must not be repeated:
/// if the server closes it at the same time, the request may or may not have run.
const ONCE_IDLE_LIMIT: Duration = Duration::from_millis(500);

/// Runs a request and passes its events to `event`; the last one is `Done` or
/// `Failed`.
pub async fn run(client: Client, kind: PoolKind, dispatch: Dispatch, event: impl Fn(Event)) {
    let call_timeout = dispatch.remaining + DEADLINE_GRACE;
    let call = exchange(client, kind, dispatch, &event);
    let outcome = actix_rt::time::timeout(call_timeout, call).await;
    event(outcome.unwrap_or(Event::Failed { handed: true }));
}

async fn exchange(
    client: Client,
    kind: PoolKind,
    dispatch: Dispatch,
    event: &impl Fn(Event),
) -> Event {
    let max_idle = if dispatch.idempotent { Duration::MAX } else { ONCE_IDLE_LIMIT };
    let Ok(request) = request(&client, dispatch) else {
        return Event::Failed { handed: false };
    };
    let (connection, response) = match client.send(request, max_idle).await {
        Ok(sent) => sent,
        Err(error) => return Event::Failed { handed: error != connection::Error::ConnectFailed },
    };
    let status = response.status().as_u16();
    // Another engine may accept the request. From a plain service, 503 is an
    // ordinary answer.
    if kind == PoolKind::Model && status == UNAVAILABLE {
        return Event::Failed { handed: false };
    }
    let headers = headers(response.headers());
    let streamed = headers.iter().any(|(name, value)| {
        name.eq_ignore_ascii_case("content-type") && value.starts_with(EVENT_STREAM)
    });
    event(Event::Head { status, headers });
    let mut body = response.into_body();
    let mut pending = BytesMut::new();
    let mut done = kind != PoolKind::Model || !streamed;
    while let Some(frame) = body.frame().await {
        let data = match frame.map(http_body::Frame::into_data) {
            Ok(Ok(data)) => data,
            // Trailers.
            Ok(Err(_)) => continue,
            // The last event of a stream says that it is whole.
            Err(error) if streamed && done && is_end(&error) => break,
            Err(_) => return Event::Failed { handed: true },
        };
        if !streamed {
            event(Event::Data { events: 0, data });
            continue;
        }
        pending.extend_from_slice(&data);
        if let Some((events, data)) = take_complete_events(&mut pending) {
            done |= data.ends_with(DONE_EVENT);
            event(Event::Data { events, data });
        }
        if pending.len() > PENDING_EVENT_MAX_BYTES {
            return Event::Failed { handed: true };
        }
    }
    // A stream that ends inside an event was truncated.
    if !done || !pending.is_empty() {
        return Event::Failed { handed: true };
    }
    client.keep(connection);
    Event::Done
}

/// The request for the backend server.
fn request(client: &Client, dispatch: Dispatch) -> Result<Request<Full<Bytes>>, http::Error> {
    let method = Method::from_bytes(dispatch.method.as_bytes())?;
    let mut request = client.request(method, &dispatch.path);
    for (name, value) in &dispatch.headers {
        request = request.header(name.as_str(), value.as_str());
    }
    if let Some(key) = &dispatch.key {
        request = request.header(KEY_HEADER, key.as_str());
    }
    if dispatch.resume > 0 {
        request = request.header(RESUME_HEADER, dispatch.resume.to_string());
    }
    request.body(Full::new(dispatch.body))
}

/// Whether an error of a body is the end of its connection.
fn is_end(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref::<std::io::Error>());
    source.is_some_and(|source| source.kind() == std::io::ErrorKind::UnexpectedEof)
}

/// Removes all complete events from the pending bytes and counts them.
fn take_complete_events(pending: &mut BytesMut) -> Option<(u32, Bytes)> {
    let mut count = 0;
    let mut end = 0;
    while let Some(position) = find(&pending[end..], EVENT_END) {
        end += position + EVENT_END.len();
        count += 1;
    }
    (count > 0).then(|| (count, pending.split_to(end).freeze()))
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

fn headers(headers: &HeaderMap) -> Vec<(Name, Name)> {
    let mut forwarded = Vec::new();
    for (name, value) in headers {
        if let Ok(value) = value.to_str()
            && !CONNECTION_HEADERS.contains(&name.as_str())
        {
            forwarded.push((name.as_str().into(), value.into()));
        }
    }
    forwarded
}
