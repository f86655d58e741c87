//! A caller's request, and what a backend server is sent of it.

use std::time::Duration;

use actix_web::HttpRequest;
use adapter::header;
use balance::{Target, Ticket};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue};
use http_body_util::Full;
use tables::Name;
use xxhash_rust::xxh3::Xxh3;

/// Headers that concern one connection only.
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

/// A request that was read whole.
#[derive(Clone, Debug)]
pub struct Request {
    /// The caller's id.
    pub id: Name,
    /// Method.
    pub method: http::Method,
    /// Path and query, byte for byte.
    pub target: http::uri::PathAndQuery,
    /// Value of the `Host` header.
    pub host: Name,
    /// Bearer key.
    pub key: Option<Name>,
    /// How long the caller waits.
    pub caller_timeout: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Number of the last event that the caller already has.
    pub last_event: Option<u64>,
    /// Headers that are passed on.
    headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The head can't be passed on.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the head of the request can't be passed on")]
pub struct Malformed;

impl Request {
    /// Reads the head; the body follows.
    ///
    /// # Errors
    ///
    /// If method, target or a header can't be passed on.
    pub fn read(request: &HttpRequest) -> Result<Request, Malformed> {
        let find = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        let fields = header::Request::read(find);
        let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
        let method = http::Method::from_bytes(request.method().as_str().as_bytes());
        Ok(Request {
            id: fields.id.unwrap_or_default().into(),
            method: method.map_err(|_| Malformed)?,
            target: target.parse().map_err(|_| Malformed)?,
            host: find("host").unwrap_or_default().into(),
            key: fields.key.map(Name::from),
            caller_timeout: fields.caller_timeout,
            prompt_tokens: fields.prompt_tokens,
            last_event: fields.last_event,
            headers: passed_on(request)?,
            body: Bytes::new(),
        })
    }

    /// Hash of key, target and body, to know the same request when it comes
    /// again.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.key.as_deref().unwrap_or_default().as_bytes());
        hasher.update(self.target.as_str().as_bytes());
        hasher.update(&self.body);
        hasher.digest()
    }

    /// The request as the backend server gets it, `left` before its deadline.
    pub fn to_backend(
        &self,
        ticket: &Ticket,
        target: &Target,
        left: Duration,
        last_event: Option<u64>,
    ) -> hyper::Request<Full<Bytes>> {
        let mut request = hyper::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = http::Uri::from(self.target.clone());
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        set(headers, header::DEADLINE, &left.as_millis().to_string());
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

/// Sets a header; what can't stand in a header is left out.
fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

fn passed_on(request: &HttpRequest) -> Result<HeaderMap, Malformed> {
    let named: Vec<String> = request
        .headers()
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut headers = HeaderMap::new();
    for (name, value) in request.headers() {
        let name = name.as_str();
        let own = header::RESERVED.contains(&name) || name == CONTENT_LENGTH.as_str();
        if own || HOP_BY_HOP.contains(&name) || named.iter().any(|other| other == name) {
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

/// Headers of a backend server's answer that the caller gets.
pub fn answer_headers(headers: &HeaderMap) -> impl Iterator<Item = (&str, &[u8])> {
    let kept = |name: &str| !HOP_BY_HOP.contains(&name) && name != CONTENT_LENGTH.as_str();
    headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .filter(move |(name, _)| kept(name))
}
