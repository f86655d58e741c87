//! HTTP client of the backend server.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use connection::{Connection, Error, Pool, Reply, Timeouts};
use http::uri::{Authority, Uri};
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use tables::Name;

/// Port of a base URL without one.
const DEFAULT_PORT: u16 = 80;

/// Timeouts of connections. The backend server runs on the same host, where nothing is
/// lost; it may be slow to read a request. The idle time is shorter than that of common
/// servers: an order sent on a closing connection may or may not have been accepted, and
/// the rank then loses its session.
const TIMEOUTS: Timeouts =
    Timeouts { connect: Duration::from_secs(1), user: None, idle: Duration::from_secs(2) };

/// The base URL of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, DeserializeFromStr, SerializeDisplay)]
pub struct Base {
    authority: Authority,
    /// Path without a slash at its end.
    path: Name,
}

/// A text is not the base URL of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a URL of the form http://HOST[:PORT][/PATH]")]
pub struct InvalidBase;

impl FromStr for Base {
    type Err = InvalidBase;

    /// Parses the URL.
    ///
    /// ```
    /// assert!("http://127.0.0.1:9000".parse::<agent::Base>().is_ok());
    /// assert!("127.0.0.1:9000".parse::<agent::Base>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Base, InvalidBase> {
        let url = text.parse::<Uri>().map_err(|_| InvalidBase)?;
        if url.scheme_str() != Some("http") || url.query().is_some() {
            return Err(InvalidBase);
        }
        let path = url.path().trim_end_matches('/').into();
        let authority = url.into_parts().authority.ok_or(InvalidBase)?;
        Ok(Base { authority, path })
    }
}

impl fmt::Display for Base {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "http://{}{}", self.authority, self.path)
    }
}

/// Client of the backend server. Cheap to clone; not `Send`.
#[derive(Clone)]
pub struct Client {
    base: Base,
    pool: Rc<Pool>,
}

impl Client {
    /// A client without connections.
    ///
    /// ```
    /// let client = agent::Client::new("http://127.0.0.1:9000/x".parse().unwrap());
    /// let request = client.request(http::Method::GET, "/y?z=1").body(()).unwrap();
    /// assert_eq!(request.uri(), "/x/y?z=1");
    /// ```
    pub fn new(base: Base) -> Client {
        Client { base, pool: Rc::new(Pool::new(TIMEOUTS)) }
    }

    /// A request for `path`, which may have a query, below the base URL.
    pub fn request(&self, method: Method, path: &str) -> http::request::Builder {
        let target = format!("{}{path}", self.base.path);
        let host = self.base.authority.as_str();
        Request::builder().method(method).uri(target).header(http::header::HOST, host)
    }

    /// Sends a request over a connection that was last used less than `max_idle` ago, or
    /// over a new one, and waits for the head of its final response.
    ///
    /// # Errors
    ///
    /// [`Error::ConnectFailed`] if nothing was sent; otherwise the server may have received
    /// the request.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        max_idle: Duration,
    ) -> Result<(Connection, Response<Incoming>), Error> {
        let address = self.resolve().await.ok_or(Error::ConnectFailed)?;
        self.pool.send(address, request, max_idle).await
    }

    /// Keeps a connection whose response is complete for later requests.
    pub fn keep(&self, connection: Connection) {
        self.pool.put(connection);
    }

    /// Closes the connections that the server has closed or that were idle for too long.
    pub fn sweep(&self) {
        self.pool.sweep();
    }

    /// Sends a JSON body and reads a response with a small body.
    ///
    /// # Errors
    ///
    /// See [`connection::call`].
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Reply, Error> {
        let address = self.resolve().await.ok_or(Error::ConnectFailed)?;
        let path = format!("{}{path}", self.base.path);
        connection::call(&self.pool, address, method, &path, body, timeout).await
    }

    /// The address of the server. A host name may have another one at each call.
    async fn resolve(&self) -> Option<SocketAddr> {
        // The brackets of an IPv6 address are part of a URL's host.
        let host = self.base.authority.host().trim_matches(['[', ']']);
        let port = self.base.authority.port_u16().unwrap_or(DEFAULT_PORT);
        tokio::net::lookup_host((host, port)).await.ok()?.next()
    }
}
