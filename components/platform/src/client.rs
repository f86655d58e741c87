//! HTTP client for single calls to the platform.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::Method;
use awc::http::header::{CONTENT_TYPE, HeaderValue, IF_MATCH, RETRY_AFTER};
use serde_json::Value;
use tables::{Host, Name};

use crate::{Changes, Error, Expect, Hosts, Listing, Object, Pages, Reply, VALUE_LIMIT, encode};

/// Default limit of a reply's body. A page or a watch's reply has a few megabytes at most.
const BODY_LIMIT_BYTES: usize = 16 << 20;
/// Limit of the bodies of all pages of a listing.
const LISTING_LIMIT_BYTES: usize = 32 << 20;
/// Idle time after which a connection is not reused. Shorter than the keep-alive
/// of common servers, so that no call is sent on a connection about to close.
const KEEP_ALIVE: Duration = Duration::from_secs(4);

/// A client of the platform's service. Cheap to clone; not `Send`.
///
/// Calls go to the URL that last replied. If a call did not reach the platform,
/// the next URL is tried. The client never retries a write that may have arrived.
///
/// ```
/// let client = platform::Client::new(vec!["http://127.0.0.1:1".into()], std::time::Duration::from_millis(200));
/// let result = actix_rt::System::new().block_on(client.get("pool", "benches"));
/// assert_eq!(result, Err(platform::Error::Unreachable));
/// ```
#[derive(Clone)]
pub struct Client {
    /// Replaced after a call without a reply, see [`Client::send_to`].
    http: Rc<RefCell<awc::Client>>,
    urls: Rc<[Name]>,
    current: Rc<Cell<usize>>,
    timeout: Duration,
    era_header: Option<&'static str>,
    body_limit: usize,
}

struct Call {
    method: Method,
    path: String,
    expect: Option<Expect>,
    body: Option<String>,
    timeout: Duration,
}

impl Client {
    /// Creates a client that waits at most `timeout` for the reply to each call.
    pub fn new(urls: Vec<Name>, timeout: Duration) -> Client {
        Client {
            http: Rc::new(RefCell::new(new_http(timeout))),
            urls: urls.into(),
            current: Rc::default(),
            timeout,
            era_header: None,
            body_limit: BODY_LIMIT_BYTES,
        }
    }

    /// Reads the number of the service's restores from the reply header `name`.
    pub fn with_era_header(self, name: &'static str) -> Client {
        Client { era_header: Some(name), ..self }
    }

    /// Limits the bodies of replies to `bytes`. A longer one is discarded.
    pub fn with_body_limit(self, bytes: usize) -> Client {
        Client { body_limit: bytes, ..self }
    }

    /// Reads an object.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        self.read(object_path(kind, name), self.timeout).await?.object()
    }

    /// Reads all objects of a kind, page by page.
    ///
    /// Objects that change during the listing may appear in either state; a watch
    /// since the listing's revision returns these changes.
    ///
    /// # Errors
    ///
    /// [`Error::Oversized`] if the pages exceed 32 MiB together, [`Error::Malformed`] if a
    /// page doesn't show how to continue; see also [`Client::fetch`].
    pub async fn list(&self, kind: &str) -> Result<Listing, Error> {
        let mut pages = Pages::new(LISTING_LIMIT_BYTES);
        let mut listing: Option<Listing> = None;
        let mut path = kind_path(kind);
        loop {
            let reply = self.read(path, self.timeout).await?;
            let page: Listing = reply.read()?;
            let last = page.objects.last().map(|object| object.name.clone());
            let next = pages.advance(reply.body.len(), page.more, last)?;
            match &mut listing {
                Some(listing) => listing.objects.extend(page.objects),
                None => listing = Some(page),
            }
            let Some(last) = next else { break };
            path = format!("{}?after={}", kind_path(kind), encode(&last));
        }
        Ok(Listing { more: false, ..listing.unwrap_or_default() })
    }

    /// Writes an object if `expect` holds. Returns its new version.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        expect: Expect,
        value: &Value,
    ) -> Result<u64, Error> {
        let body = value.to_string();
        if body.len() > VALUE_LIMIT {
            return Err(Error::TooLarge { size: body.len() });
        }
        self.write(Method::PUT, object_path(kind, name), Some(expect), Some(body)).await
    }

    /// Deletes an object if `expect` holds. Returns the deletion's version.
    pub async fn delete(&self, kind: &str, name: &str, expect: Expect) -> Result<u64, Error> {
        self.write(Method::DELETE, object_path(kind, name), Some(expect), None).await
    }

    /// Waits up to `wait` for changes of `kinds` after the revision `since`.
    pub async fn watch(
        &self,
        kinds: &[&str],
        since: u64,
        wait: Duration,
    ) -> Result<Changes, Error> {
        let kinds: Vec<String> = kinds.iter().map(|kind| encode(kind)).collect();
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch?kinds={}&since={since}&wait_ms={wait_ms}", kinds.join(","));
        self.read(path, wait + self.timeout).await?.read()
    }

    /// Waits up to `wait` for changes of the host list after the revision
    /// `since`; 0 requests the whole list at once.
    ///
    /// A platform that doesn't support deltas of the list returns all of it.
    pub async fn hosts(&self, since: u64, wait: Duration) -> Result<Hosts, Error> {
        let path = format!("/v1/hosts?since={since}&wait_ms={}&changes=1", wait.as_millis());
        self.read(path, wait + self.timeout).await?.read()
    }

    /// Adds a host to the host list, or updates it.
    pub async fn put_host(&self, host: &Host) -> Result<u64, Error> {
        let body = serde_json::to_string(host).map_err(|_| Error::Malformed { status: 0 })?;
        let path = format!("/v1/hosts/{}", encode(&host.name));
        self.write(Method::PUT, path, None, Some(body)).await
    }

    /// Removes a host from the host list.
    pub async fn delete_host(&self, name: &str) -> Result<u64, Error> {
        self.write(Method::DELETE, format!("/v1/hosts/{}", encode(name)), None, None).await
    }

    /// Reads any path of the service and returns the reply undecoded.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the call was not sent, [`Error::Unknown`] if no complete
    /// reply came within the timeout, [`Error::Oversized`] if it exceeds the limit. A
    /// reply with an error status is returned as a reply.
    pub async fn fetch(&self, path: String, timeout: Duration) -> Result<Reply, Error> {
        let call = Call { method: Method::GET, path, expect: None, body: None, timeout };
        self.send(&call).await
    }

    /// Sends a JSON body to any path of the service and returns the reply undecoded.
    ///
    /// # Errors
    ///
    /// As [`Client::fetch`]; [`Error::Unknown`] if the body may have arrived.
    pub async fn submit(&self, method: Method, path: String, body: &Value) -> Result<Reply, Error> {
        let body = Some(body.to_string());
        let call = Call { method, path, expect: None, body, timeout: self.timeout };
        self.send(&call).await
    }

    async fn read(&self, path: String, timeout: Duration) -> Result<Reply, Error> {
        let call = Call { method: Method::GET, path, expect: None, body: None, timeout };
        // Reads have no effect, so the caller may always retry.
        self.send(&call).await.map_err(|error| match error {
            Error::Oversized { .. } => error,
            _ => Error::Unreachable,
        })
    }

    async fn write(
        &self,
        method: Method,
        path: String,
        expect: Option<Expect>,
        body: Option<String>,
    ) -> Result<u64, Error> {
        let call = Call { method, path, expect, body, timeout: self.timeout };
        self.send(&call).await?.written()
    }

    /// Tries the URLs in turn, starting with the current one. A write stops at the
    /// first URL that it may have reached.
    async fn send(&self, call: &Call) -> Result<Reply, Error> {
        let mut last = Err(Error::Unreachable);
        for _ in 0..self.urls.len() {
            let index = self.current.get() % self.urls.len();
            let result = self.send_to(&self.urls[index], call).await;
            if matches!(result, Ok(_) | Err(Error::Oversized { .. })) {
                return result;
            }
            self.current.set(index + 1);
            let retryable = call.method == Method::GET || result == Err(Error::Unreachable);
            if !retryable {
                return result;
            }
            last = result;
        }
        last
    }

    async fn send_to(&self, url: &str, call: &Call) -> Result<Reply, Error> {
        let exchange = self.exchange(url, call);
        let result = actix_rt::time::timeout(call.timeout, exchange).await;
        let result = result.unwrap_or(Err(Error::Unknown));
        if result == Err(Error::Unknown) {
            // What silenced this connection may have silenced the idle ones as well. They
            // are dropped, so that the next call opens a new one.
            self.http.replace(new_http(self.timeout));
        }
        result
    }

    async fn exchange(&self, url: &str, call: &Call) -> Result<Reply, Error> {
        let url = format!("{}{}", url.trim_end_matches('/'), call.path);
        let mut request = self.http.borrow().request(call.method.clone(), url);
        if let Some(expect) = call.expect {
            request = request.insert_header((IF_MATCH, expect.as_header()));
        }
        let sent = match &call.body {
            Some(body) => {
                request.insert_header((CONTENT_TYPE, "application/json")).send_body(body.clone())
            }
            None => request.send(),
        };
        let response = sent.await.map_err(|error| classify(&error))?;
        let mut response = response.timeout(call.timeout);
        let retry_after = response.headers().get(RETRY_AFTER).and_then(parse_seconds);
        let status = response.status().as_u16();
        if !(200..600).contains(&status) {
            // Not a final response (RFC 9110). The client doesn't wait for one that follows;
            // it would be taken for the reply to the next call.
            return Err(Error::Unknown);
        }
        let era = self.era_header.and_then(|name| response.headers().get(name));
        let era = era.and_then(|value| Some(value.to_str().ok()?.into()));
        let body = response.body().limit(self.body_limit).await;
        let body = body.map_err(|error| match error {
            PayloadError::Overflow => Error::Oversized { limit: self.body_limit },
            _ => Error::Unknown,
        })?;
        Ok(Reply { status, retry_after, era, body })
    }
}

/// An HTTP client without connections.
fn new_http(timeout: Duration) -> awc::Client {
    // A connection attempt that takes half the timeout fails as unreachable: the call was
    // never sent and may be retried.
    let connector = awc::Connector::new().timeout(timeout / 2).conn_keep_alive(KEEP_ALIVE).limit(0);
    awc::Client::builder().connector(connector).disable_redirects().disable_timeout().finish()
}

fn parse_seconds(value: &HeaderValue) -> Option<Duration> {
    let seconds = value.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Distinguishes calls that were never sent from those that may have arrived.
///
/// awc reports a connection that closes before the reply as a connect error,
/// `Disconnected`, although the call had been sent.
fn classify(error: &SendRequestError) -> Error {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
            Error::Unknown
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => Error::Unreachable,
        _ => Error::Unknown,
    }
}

fn kind_path(kind: &str) -> String {
    format!("/v1/objects/{}", encode(kind))
}

fn object_path(kind: &str, name: &str) -> String {
    format!("{}/{}", kind_path(kind), encode(name))
}
