//! Errors of calls to the platform.

use std::time::Duration;

use crate::Object;

/// Failure of a call to the platform.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The object is not at the expected version. The write had no effect.
    #[error("version conflict: the object is {}", describe(current.as_ref()))]
    Conflict {
        /// The current object; `None` if it does not exist.
        current: Option<Object>,
    },
    /// The platform's rate limit is exceeded. The call had no effect.
    #[error("the platform's rate limit is exceeded: retry after {retry_after:?}")]
    Busy {
        /// Time to wait before a retry.
        retry_after: Duration,
    },
    /// No valid reply was received: a write may or may not have taken effect.
    #[error("no valid reply from the platform: the call may have taken effect")]
    Unknown,
    /// The call never reached the platform, or was a read that failed.
    #[error("the platform is unreachable")]
    Unreachable,
    /// The value exceeds the platform's size limit. The write had no effect.
    #[error("a value of {size} bytes exceeds the platform's limit")]
    TooLarge {
        /// Size of the value in bytes.
        size: usize,
    },
    /// The reply exceeds the size limit and was discarded: a write may or may not have
    /// taken effect.
    #[error("the reply exceeds the limit of {limit} bytes")]
    Oversized {
        /// The limit in bytes.
        limit: usize,
    },
    /// The platform no longer retains the changes since the given revision: a new
    /// listing is needed.
    #[error("the requested changes are no longer retained")]
    Gone,
    /// The reply predates the latest known restore of the platform's data and is
    /// discarded.
    #[error("the reply predates the platform's last restore")]
    Outdated,
    /// The platform rejected the call, or a reply to a read can't be decoded.
    /// The call had no effect.
    #[error("the call was rejected or the reply is malformed (status {status})")]
    Malformed {
        /// The HTTP status.
        status: u16,
    },
}

impl Error {
    /// Whether the same call would get the same unusable reply again.
    ///
    /// ```
    /// assert!(platform::Error::Oversized { limit: 8 }.is_lasting());
    /// assert!(!platform::Error::Unreachable.is_lasting());
    /// ```
    pub fn is_lasting(&self) -> bool {
        matches!(self, Error::Oversized { .. } | Error::Malformed { .. })
    }

    /// Whether a write that failed with this error certainly had no effect.
    ///
    /// ```
    /// assert!(platform::Error::Unreachable.is_without_effect());
    /// assert!(!platform::Error::Unknown.is_without_effect());
    /// ```
    pub fn is_without_effect(&self) -> bool {
        !matches!(self, Error::Unknown | Error::Outdated | Error::Oversized { .. })
    }
}

fn describe(current: Option<&Object>) -> String {
    match current {
        Some(object) => format!("at version {}", object.version),
        None => "absent".to_owned(),
    }
}
