//! HTTP calls to the backend server, reported as events.

use std::time::Duration;

use admission::gate::Event;
use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use awc::http::header::TRANSFER_ENCODING;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tables::{Name, PoolKind};
use wire::Dispatch;

use crate::stream;

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

/// Runs a request and passes its events to `event`; the last one is `Done` or
/// `Failed`.
pub async fn run(
    client: Client,
    base: Name,
    kind: PoolKind,
    dispatch: Dispatch,
    event: impl Fn(Event),
) {
    let call_timeout = dispatch.remaining + DEADLINE_GRACE;
    let call = exchange(client, base, kind, dispatch, &event);
    let outcome = actix_rt::time::timeout(call_timeout, call).await;
    event(outcome.unwrap_or(Event::Failed { handed: true }));
}

async fn exchange(
    client: Client,
    base: Name,
    kind: PoolKind,
    dispatch: Dispatch,
    event: &impl Fn(Event),
) -> Event {
    let Ok(method) = Method::from_bytes(dispatch.method.as_bytes()) else {
        return Event::Failed { handed: false };
    };
    let mut request = client.request(method, format!("{base}{}", dispatch.path));
    for (name, value) in &dispatch.headers {
        request = request.insert_header((name.as_str(), value.as_str()));
    }
    if let Some(key) = &dispatch.key {
        request = request.insert_header((KEY_HEADER, key.as_str()));
    }
    if dispatch.resume > 0 {
        request = request.insert_header((RESUME_HEADER, dispatch.resume.to_string()));
    }
    // `run` enforces the timeout of the whole call.
    let sent = request.timeout(dispatch.remaining + DEADLINE_GRACE).send_body(dispatch.body).await;
    let mut response = match sent {
        Ok(response) => response,
        Err(error) => return Event::Failed { handed: may_have_been_sent(&error) },
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
    let length = length(response.headers());
    // Only the end of the connection ends a body without either.
    let until_close = length.is_none() && !response.headers().contains_key(TRANSFER_ENCODING);
    event(Event::Head { status, headers });
    let mut pending = BytesMut::new();
    let mut size = 0;
    let mut done = kind != PoolKind::Model || !streamed;
    while let Some(chunk) = response.next().await {
        let data = match chunk {
            Ok(data) => data,
            // The last event of a stream says that it is whole.
            Err(error) if stream::is_end(&error) && (until_close || streamed && done) => break,
            Err(_) => return Event::Failed { handed: true },
        };
        size += data.len();
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
    let complete = done && pending.is_empty() && length.is_none_or(|length| length == size);
    if complete { Event::Done } else { Event::Failed { handed: true } }
}

/// The value of the `content-length` header.
fn length(headers: &awc::http::header::HeaderMap) -> Option<usize> {
    headers.get("content-length")?.to_str().ok()?.parse().ok()
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

fn headers(headers: &awc::http::header::HeaderMap) -> Vec<(Name, Name)> {
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

/// Whether the server may have received any part of the request. `awc` reports
/// a connection closed before the response as a connect error, too.
fn may_have_been_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => true,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => false,
        _ => true,
    }
}

/// A client for calls to the backend server.
pub fn client() -> Client {
    let connector = awc::Connector::new()
        .connector(stream::connector())
        .timeout(CONNECT_TIMEOUT)
        .limit(CONNECTION_LIMIT);
    Client::builder().connector(connector).disable_redirects().no_default_headers().finish()
}

/// Timeout for connecting to the backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of connections to the backend server.
const CONNECTION_LIMIT: usize = 4096;
