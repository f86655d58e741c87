//! A caller's request and its translation for a backend server.

use std::time::Duration;

use adapter::header;
use balance::{Target, Ticket};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http_body_util::Full;
use tables::Name;
use xxhash_rust::xxh3::Xxh3;

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// A request that was read completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id that the caller gave the request; empty if none.
    pub id: Name,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query, unmodified.
    pub target: http::uri::PathAndQuery,
    /// Value of the `Host` header.
    pub host: Name,
    /// Bearer key.
    pub key: Option<Name>,
    /// Time that the caller waits for the response.
    pub caller_timeout: Option<Duration>,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Ids of the prompt's parts, in their order.
    pub prompt_parts: Vec<u64>,
    /// Id of the last event that the caller has already received.
    pub last_event: Option<u64>,
    /// Headers to forward.
    headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// The request head cannot be forwarded.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the request head cannot be forwarded")]
pub struct Malformed;

/// A name from the configuration or the store is no header value. Without the header, a
/// backend server could run the request for another account, or in place of another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a name has control characters and can't be sent as a header")]
pub struct Unsendable;

impl Request {
    /// Reads the request head. The body is left empty.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the target cannot be forwarded or the `Host` header is missing.
    pub fn read(head: &Parts) -> Result<Request, Malformed> {
        let header_value =
            |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let fields = header::Request::read(header_value);
        Ok(Request {
            id: fields.id.unwrap_or_default().into(),
            method: head.method.clone(),
            target: head.uri.path_and_query().cloned().ok_or(Malformed)?,
            host: header_value("host").unwrap_or_default().into(),
            key: fields.key.map(Name::from),
            caller_timeout: fields.caller_timeout,
            prompt_tokens: fields.prompt_tokens,
            last_event: fields.last_event,
            prompt_parts: fields.prompt_parts,
            headers: forwarded_headers(&head.headers)?,
            body: Bytes::new(),
        })
    }

    /// Ids of the prompt's parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[u64] {
        self.prompt_parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Hash of key, target and body, to recognize repetitions of a request.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        let key = self.key.as_deref().unwrap_or_default();
        for part in [key.as_bytes(), self.target.as_str().as_bytes(), &self.body] {
            // The length keeps the end of one part from passing as the start of the next.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.digest()
    }

    /// Builds the request to a backend server, with `remaining` as its deadline
    /// header.
    ///
    /// # Errors
    ///
    /// [`Unsendable`] if the name of the server or the client account has control characters.
    pub fn to_backend(
        &self,
        ticket: &Ticket,
        target: &Target,
        remaining: Duration,
        last_event: Option<u64>,
    ) -> Result<hyper::Request<Full<Bytes>>, Unsendable> {
        let mut request = hyper::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = http::Uri::from(self.target.clone());
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        set(headers, header::DEADLINE, &remaining.as_millis().to_string())?;
        set(headers, header::EXPECTED_SERVER, &target.server)?;
        if let Some(account) = &ticket.account {
            set(headers, header::ACCOUNT, account)?;
        }
        if ticket.urgency.is_some() {
            let priority = ticket.level.min(header::PRIORITY_MAX);
            set(headers, header::PRIORITY, &priority.to_string())?;
        }
        if let Some(last_event) = last_event {
            set(headers, header::LAST_EVENT, &last_event.to_string())?;
        }
        Ok(request)
    }
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) -> Result<(), Unsendable> {
    let value = HeaderValue::from_str(value).map_err(|_| Unsendable)?;
    headers.insert(HeaderName::from_static(name), value);
    Ok(())
}

fn forwarded_headers(all: &HeaderMap) -> Result<HeaderMap, Malformed> {
    let connection_options: Vec<String> = all
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut headers = HeaderMap::new();
    for (name, value) in all {
        let text = name.as_str();
        let reserved = header::RESERVED.contains(&text) || name == CONTENT_LENGTH;
        if reserved
            || HOP_BY_HOP.contains(&text)
            || connection_options.iter().any(|other| other == text)
        {
            continue;
        }
        headers.append(name, value.clone());
    }
    if !headers.contains_key(HOST) {
        return Err(Malformed);
    }
    Ok(headers)
}

/// Headers of a backend server's response that are forwarded to the caller.
pub fn response_headers(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()) && *name != CONTENT_LENGTH)
}
