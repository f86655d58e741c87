//! How a call to the platform fails.

use std::time::Duration;

use crate::Object;

/// A call that did not do what it was meant to.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The object is not at the expected version. Nothing was changed.
    #[error("conflict: the object is {}", shown(current.as_ref()))]
    Conflict {
        /// The object as it is now, or nothing if it is absent.
        current: Option<Object>,
    },
    /// The call is over the platform's rate. Nothing was changed.
    #[error("the platform is busy for {retry_after:?}")]
    Busy {
        /// When to try again.
        retry_after: Duration,
    },
    /// No usable reply came: whether a write took effect is unknown.
    #[error("no reply from the platform: the effect is unknown")]
    Unknown,
    /// The call never reached the platform, or was a read that failed.
    #[error("the platform can't be reached")]
    Unreachable,
    /// The value is larger than the platform holds. Nothing was changed.
    #[error("a value of {size} bytes is too large")]
    TooLarge {
        /// Size of the value in bytes.
        size: usize,
    },
    /// Changes since the given revision are no longer kept: list again.
    #[error("the changes asked for are no longer kept")]
    Gone,
    /// The reply is older than the last restore of the platform's data that is
    /// known. What it says counts for nothing.
    #[error("the reply is older than the platform's last restore")]
    Outdated,
    /// The platform rejected the call, or a reply to a read can't be decoded.
    /// Nothing was changed.
    #[error("the call was not understood (status {status})")]
    Malformed {
        /// The HTTP status.
        status: u16,
    },
}

impl Error {
    /// Whether a write that failed so certainly had no effect.
    ///
    /// ```
    /// assert!(platform::Error::Unreachable.is_without_effect());
    /// assert!(!platform::Error::Unknown.is_without_effect());
    /// ```
    pub fn is_without_effect(&self) -> bool {
        !matches!(self, Error::Unknown | Error::Outdated)
    }
}

fn shown(current: Option<&Object>) -> String {
    match current {
        Some(object) => format!("at version {}", object.version),
        None => "absent".to_owned(),
    }
}
