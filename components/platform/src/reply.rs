//! Converts replies (status and body) to results, without I/O.

use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use tables::Name;

use crate::{Error, Object, Version};

/// Wait after a 429 without a `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An HTTP reply.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// Value of the `Retry-After` header.
    pub retry_after: Option<Duration>,
    /// Value of the header that numbers the service's restores, if the client is
    /// configured to read it ([`crate::Client::with_era_header`]).
    pub era: Option<Name>,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the result of a read.
    ///
    /// ```
    /// let body = br#"{"version": 4}"#;
    /// let reply = platform::Reply { status: 200, retry_after: None, era: None, body: body[..].into() };
    /// assert_eq!(reply.read(), Ok(platform::Version { version: 4 }));
    /// ```
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Error> {
        self.accept()?;
        self.decode()
    }

    /// Returns the body of a successful read.
    ///
    /// # Errors
    ///
    /// The error for the status if it isn't 200.
    pub fn accept(&self) -> Result<&Bytes, Error> {
        match self.status {
            200 => Ok(&self.body),
            status if status >= 500 => Err(Error::Unreachable),
            _ => Err(self.rejection()),
        }
    }

    /// Returns the result of reading one object, which may not exist.
    ///
    /// ```
    /// let reply = platform::Reply { status: 404, retry_after: None, era: None, body: Default::default() };
    /// assert_eq!(reply.object(), Ok(None));
    /// ```
    pub fn object(&self) -> Result<Option<Object>, Error> {
        match self.status {
            404 => Ok(None),
            _ => self.read().map(Some),
        }
    }

    /// Returns the result of a write: its version.
    ///
    /// After a status of 500 and above, or a successful reply that can't be
    /// decoded, it is unknown whether the write took effect.
    ///
    /// ```
    /// let reply = platform::Reply { status: 503, retry_after: None, era: None, body: Default::default() };
    /// assert_eq!(reply.written(), Err(platform::Error::Unknown));
    /// ```
    pub fn written(&self) -> Result<u64, Error> {
        match self.status {
            200 => self.decode().map(|reply: Version| reply.version).map_err(|_| Error::Unknown),
            412 => self.conflict(),
            status if status >= 500 => Err(Error::Unknown),
            _ => Err(self.rejection()),
        }
    }

    fn conflict(&self) -> Result<u64, Error> {
        let current = self.decode::<Option<Object>>()?;
        Err(Error::Conflict { current })
    }

    fn rejection(&self) -> Error {
        match self.status {
            410 => Error::Gone,
            413 => Error::TooLarge { size: self.body.len() },
            429 => Error::Busy { retry_after: self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER) },
            status => Error::Malformed { status },
        }
    }

    fn decode<T: DeserializeOwned>(&self) -> Result<T, Error> {
        let malformed = Error::Malformed { status: self.status };
        serde_json::from_slice(&self.body).map_err(|_| malformed)
    }
}
