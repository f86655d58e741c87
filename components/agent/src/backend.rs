//! One call to the backend server: the request in, events out.

use std::time::Duration;

use admission::gate::Event;
use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tables::{Name, PoolKind};
use wire::Dispatch;

/// Content type of streamed answers.
const EVENT_STREAM: &str = "text/event-stream";
/// End of a server-sent event.
const EVENT_END: &[u8] = b"\n\n";
/// Largest part of an event stream that is kept until its event ends, in bytes.
const EVENT_LIMIT: usize = 1 << 20;
/// Header with the number of tokens of a broken stream that the caller has.
const RESUME_HEADER: &str = "x-resume-tokens";
/// Time after the deadline for which a call goes on. The entry ends it before
/// that, if it may be ended; the answer of one that may not is still recorded.
const GRACE: Duration = Duration::from_secs(5);
/// Last event of a model engine's stream.
const LAST_EVENT: &[u8] = b"data: [DONE]\n\n";
/// Status of a model engine that takes no request, since it is starting.
const UNAVAILABLE: u16 = 503;
/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Headers of an answer that concern only the connection to the server.
const OWN_HEADERS: [&str; 6] =
    ["connection", "content-length", "keep-alive", "te", "trailer", "transfer-encoding"];

/// Runs a request and tells `event` what happens, ending with `Done` or
/// `Failed`.
pub async fn run(
    client: Client,
    base: Name,
    kind: PoolKind,
    dispatch: Dispatch,
    event: impl Fn(Event),
) {
    let limit = dispatch.remaining + GRACE;
    let call = exchange(client, base, kind, dispatch, &event);
    let ended = actix_rt::time::timeout(limit, call).await;
    event(ended.unwrap_or(Event::Failed { handed: true }));
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
    // The deadline of the whole call is kept outside.
    let sent = request.timeout(dispatch.remaining + GRACE).send_body(dispatch.body).await;
    let mut response = match sent {
        Ok(response) => response,
        Err(error) => return Event::Failed { handed: was_handed(&error) },
    };
    let status = response.status().as_u16();
    // Another engine may take it. A plain service's status is its own answer.
    if kind == PoolKind::Model && status == UNAVAILABLE {
        return Event::Failed { handed: false };
    }
    let headers = headers(response.headers());
    let streamed = headers.iter().any(|(name, value)| {
        name.eq_ignore_ascii_case("content-type") && value.starts_with(EVENT_STREAM)
    });
    let length = length(response.headers());
    event(Event::Head { status, headers });
    let mut pending = BytesMut::new();
    let mut size = 0;
    // The client takes a closed connection for the end of a body, so what can
    // be known of the end is checked here.
    let mut ended = kind != PoolKind::Model || !streamed;
    while let Some(chunk) = response.next().await {
        let Ok(data) = chunk else { return Event::Failed { handed: true } };
        size += data.len();
        if !streamed {
            event(Event::Data { events: 0, data });
            continue;
        }
        pending.extend_from_slice(&data);
        if let Some((events, data)) = whole_events(&mut pending) {
            ended |= data.ends_with(LAST_EVENT);
            event(Event::Data { events, data });
        }
        if pending.len() > EVENT_LIMIT {
            return Event::Failed { handed: true };
        }
    }
    // A stream that ends within an event was broken off.
    let whole = ended && pending.is_empty() && length.is_none_or(|length| length == size);
    if whole { Event::Done } else { Event::Failed { handed: true } }
}

/// The length of a body, if its head states it.
fn length(headers: &awc::http::header::HeaderMap) -> Option<usize> {
    headers.get("content-length")?.to_str().ok()?.parse().ok()
}

/// Takes all whole events out of the pending bytes, and counts them.
fn whole_events(pending: &mut BytesMut) -> Option<(u32, Bytes)> {
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
    let mut kept = Vec::new();
    for (name, value) in headers {
        if let Ok(value) = value.to_str()
            && !OWN_HEADERS.contains(&name.as_str())
        {
            kept.push((name.as_str().into(), value.into()));
        }
    }
    kept
}

/// Whether any of the request may have reached the server. The library counts
/// a connection that closes before its answer among the failures to connect.
fn was_handed(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => true,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => false,
        _ => true,
    }
}

/// A client for calls to the backend server.
pub fn client() -> Client {
    let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(CONNECTION_LIMIT);
    Client::builder().connector(connector).disable_redirects().no_default_headers().finish()
}

/// Longest time to open a connection to the backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Most connections to the backend server.
const CONNECTION_LIMIT: usize = 4096;
