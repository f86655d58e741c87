//! A caller's request and its translation for a backend server.

use std::time::Duration;

use actix_web::HttpRequest;
use adapter::header;
use balance::{Target, Ticket};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue};
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

impl Request {
    /// Reads the request head. The body is left empty.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the method, the target or a header cannot be forwarded, or
    /// the `Host` header is missing.
    pub fn read(request: &HttpRequest) -> Result<Request, Malformed> {
        let header_value =
            |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let fields = header::Request::read(header_value);
        let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
        let method = http::Method::from_bytes(request.method().as_str().as_bytes());
        Ok(Request {
            id: fields.id.unwrap_or_default().into(),
            method: method.map_err(|_| Malformed)?,
            target: target.parse().map_err(|_| Malformed)?,
            host: header_value("host").unwrap_or_default().into(),
            key: fields.key.map(Name::from),
            caller_timeout: fields.caller_timeout,
            prompt_tokens: fields.prompt_tokens,
            last_event: fields.last_event,
            prompt_parts: fields.prompt_parts,
            headers: forwarded_headers(request)?,
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
        hasher.update(self.key.as_deref().unwrap_or_default().as_bytes());
        hasher.update(self.target.as_str().as_bytes());
        hasher.update(&self.body);
        hasher.digest()
    }

    /// Builds the request to a backend server, with `remaining` as its deadline
    /// header.
    pub fn to_backend(
        &self,
        ticket: &Ticket,
        target: &Target,
        remaining: Duration,
        last_event: Option<u64>,
    ) -> hyper::Request<Full<Bytes>> {
        let mut request = hyper::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = http::Uri::from(self.target.clone());
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        set(headers, header::DEADLINE, &remaining.as_millis().to_string());
        set(headers, header::EXPECTED_SERVER, &target.server);
        if let Some(account) = &ticket.account {
            set(headers, header::ACCOUNT, account);
        }
        if let Some(last_event) = last_event {
            set(headers, header::LAST_EVENT, &last_event.to_string());
        }
        request
    }
}

/// Sets a header, unless `value` is not a valid header value.
fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

fn forwarded_headers(request: &HttpRequest) -> Result<HeaderMap, Malformed> {
    let connection_options: Vec<String> = request
        .headers()
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut headers = HeaderMap::new();
    for (name, value) in request.headers() {
        let name = name.as_str();
        let reserved = header::RESERVED.contains(&name) || name == CONTENT_LENGTH.as_str();
        if reserved
            || HOP_BY_HOP.contains(&name)
            || connection_options.iter().any(|other| other == name)
        {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| Malformed)?;
        let value = HeaderValue::from_bytes(value.as_bytes()).map_err(|_| Malformed)?;
        headers.append(name, value);
    }
    if !headers.contains_key(HOST) {
        return Err(Malformed);
    }
    Ok(headers)
}

/// Headers of a backend server's response that are forwarded to the caller.
pub fn response_headers(headers: &HeaderMap) -> impl Iterator<Item = (&str, &[u8])> {
    let end_to_end = |name: &str| !HOP_BY_HOP.contains(&name) && name != CONTENT_LENGTH.as_str();
    headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .filter(move |(name, _)| end_to_end(name))
}
