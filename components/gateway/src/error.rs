//! Errors of an attempt at a backend server.

use balance::Outcome;

use crate::request::Unsendable;

/// Why an attempt returned no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened; nothing was sent.
    #[error("connecting to the backend server failed")]
    ConnectFailed,
    /// The backend server reports that it did not run the request.
    #[error("refused with status {status}")]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
    },
    /// A refusal without an id on a connection that has served other requests: it may
    /// be that of an earlier one, sent again.
    #[error("refused with status {status}, perhaps for an earlier request")]
    Unattributed {
        /// HTTP status of the refusal.
        status: u16,
    },
    /// A different backend server listens on the address.
    #[error("a different backend server listens on the address")]
    Misdirected,
    /// A name that the request has to carry can't be sent; nothing was sent.
    #[error("{0}")]
    Unsendable(#[from] Unsendable),
    /// The connection closed before the response was complete.
    #[error("the connection broke off")]
    Broken,
    /// The connection was idle and closed when it was reused.
    #[error("an idle connection closed when it was reused")]
    StaleConnection,
    /// The backend server returned an error of its own.
    #[error("the backend server failed with status {status}")]
    Failed {
        /// HTTP status of the error.
        status: u16,
    },
    /// The response belongs to another request.
    #[error("the response belongs to another request")]
    RequestMismatch,
    /// The response lacks the backend server's signature or has a content
    /// encoding.
    #[error("the response is unsigned or encoded")]
    Unsigned,
    /// Ids are missing before an event, in a stream that had each one so far.
    #[error("event {found} follows event {previous}; those between are missing")]
    Skipped {
        /// Id of the previous event.
        previous: u64,
        /// Id of the event.
        found: u64,
    },
    /// The ids around an event show that its own is wrong.
    #[error("event {found} doesn't fit event {next}, which follows it")]
    Contradicted {
        /// Id of the event.
        found: u64,
        /// Id of the next event.
        next: u64,
    },
    /// The id of an event is not higher than that of the previous event, or the event
    /// has several.
    #[error("event {found} follows event {previous}")]
    OutOfOrder {
        /// Id of the previous event.
        previous: u64,
        /// Id of the event.
        found: u64,
    },
    /// The response is not the rest of the stream that it has to resume.
    #[error("the response does not resume the stream")]
    NotResumed,
    /// The response exceeds a size limit.
    #[error("response exceeds the limit of {limit} bytes")]
    Oversized {
        /// The limit exceeded, in bytes: that of one response or event, or the
        /// quota of all.
        limit: usize,
    },
    /// The response head is malformed, has the status code of no final response, or exceeds
    /// its size limit.
    #[error("the response head is malformed or too large")]
    Unreadable,
    /// The backend server sent nothing within the timeout.
    #[error("the backend server timed out")]
    TimedOut,
    /// The deadline of the request has passed.
    #[error("the time is over")]
    DeadlineExceeded,
    /// The entry stops, and no response has arrived.
    #[error("the entry stops before there is a response")]
    Stopped,
}

impl Error {
    /// The outcome of the attempt as the balancer counts it.
    ///
    /// ```
    /// use gateway::Error;
    /// assert_eq!(Error::Refused { status: 503 }.outcome(), balance::Outcome::Refused);
    /// ```
    pub fn outcome(self) -> Outcome {
        match self {
            Error::ConnectFailed => Outcome::ConnectFailed,
            // Nothing was sent, and the server isn't at fault.
            Error::Refused { .. } | Error::Unsendable(_) => Outcome::Refused,
            Error::Unattributed { .. } => Outcome::Unattributed,
            Error::Misdirected => Outcome::Misdirected,
            Error::DeadlineExceeded => Outcome::DeadlineExceeded,
            Error::StaleConnection => Outcome::StaleConnection,
            Error::Failed { .. }
            | Error::NotResumed
            | Error::Skipped { .. }
            | Error::Contradicted { .. }
            | Error::Oversized { .. }
            | Error::Unreadable => Outcome::Failed,
            Error::TimedOut => Outcome::TimedOut,
            Error::Stopped => Outcome::Stopped,
            _ => Outcome::Broken,
        }
    }
}

impl From<connection::Error> for Error {
    fn from(error: connection::Error) -> Error {
        match error {
            connection::Error::ConnectFailed => Error::ConnectFailed,
            connection::Error::Broken => Error::Broken,
            connection::Error::TimedOut => Error::TimedOut,
            connection::Error::Unreadable => Error::Unreadable,
        }
    }
}
