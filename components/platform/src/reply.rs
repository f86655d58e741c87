//! What a reply means: pure functions from status and body to a result.

use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use tables::Name;

use crate::{Error, Object, Version};

/// Wait after a 429 that does not say how long.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A reply as it came over HTTP.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The wait that a 429 asks for.
    pub retry_after: Option<Duration>,
    /// Text of the header that numbers the service's restores, where the client
    /// was told its name and the reply has it.
    pub era: Option<Name>,
    /// The body.
    pub body: Bytes,
}

impl Reply {
    /// The result of a read.
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

    /// The body of a read that succeeded.
    ///
    /// # Errors
    ///
    /// What the status stands for, if it isn't 200.
    pub fn accept(&self) -> Result<&Bytes, Error> {
        match self.status {
            200 => Ok(&self.body),
            status if status >= 500 => Err(Error::Unreachable),
            _ => Err(self.refused()),
        }
    }

    /// The result of reading one object, which may be absent.
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

    /// The result of a write: its version.
    ///
    /// A status of 500 and above says nothing about the effect, nor does a
    /// reply of success that can't be decoded.
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
            _ => Err(self.refused()),
        }
    }

    fn conflict(&self) -> Result<u64, Error> {
        let current = self.decode::<Option<Object>>()?;
        Err(Error::Conflict { current })
    }

    fn refused(&self) -> Error {
        match self.status {
            410 => Error::Gone,
            413 => Error::TooLarge { size: self.body.len() },
            429 => Error::Busy { retry_after: self.retry_after.unwrap_or(RETRY_AFTER) },
            status => Error::Malformed { status },
        }
    }

    fn decode<T: DeserializeOwned>(&self) -> Result<T, Error> {
        let malformed = Error::Malformed { status: self.status };
        serde_json::from_slice(&self.body).map_err(|_| malformed)
    }
}
