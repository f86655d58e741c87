//! How an exchange with a backend server fails.

use balance::Outcome;

/// Why an attempt brought no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection came about; nothing was sent.
    #[error("no connection")]
    ConnectFailed,
    /// The backend server says that it did not run the request.
    #[error("refused with status {status}")]
    Refused {
        /// Status of the refusal.
        status: u16,
    },
    /// Another backend server answers at the address.
    #[error("another backend server answers at the address")]
    Misdirected,
    /// The connection ended before the answer was whole.
    #[error("the connection broke off")]
    Broken,
    /// A connection that had been idle ended when it was used.
    #[error("an idle connection ended when it was used")]
    StaleConnection,
    /// The backend server answered with a failure of its own.
    #[error("the backend server failed with status {status}")]
    Failed {
        /// Status of the failure.
        status: u16,
    },
    /// The answer belongs to another request.
    #[error("the answer belongs to another request")]
    Foreign,
    /// The answer lacks the signature, or is encoded.
    #[error("the answer is not the backend server's own")]
    Unsigned,
    /// An event is out of order.
    #[error("event {found} follows event {last}")]
    Disordered {
        /// Number of the event before.
        last: u64,
        /// Number of the event.
        found: u64,
    },
    /// The answer is larger than any can be.
    #[error("the answer goes on beyond {most} bytes")]
    Oversized {
        /// The bound, in bytes: of one answer or event, or of all together.
        most: usize,
    },
    /// What came is no head of an answer, or goes on beyond any head.
    #[error("no readable head of an answer")]
    Unreadable,
    /// Nothing came for too long.
    #[error("the backend server is silent")]
    TimedOut,
    /// The time for the request is over.
    #[error("the time is over")]
    DeadlineExceeded,
}

impl Error {
    /// What the failure means for the request.
    ///
    /// ```
    /// use gateway::Error;
    /// assert_eq!(Error::Refused { status: 503 }.outcome(), balance::Outcome::Refused);
    /// ```
    pub fn outcome(self) -> Outcome {
        match self {
            Error::ConnectFailed => Outcome::ConnectFailed,
            Error::Refused { .. } => Outcome::Refused,
            Error::Misdirected => Outcome::Misdirected,
            Error::DeadlineExceeded => Outcome::DeadlineExceeded,
            Error::StaleConnection => Outcome::StaleConnection,
            Error::Failed { .. } | Error::Oversized { .. } | Error::Unreadable => Outcome::Failed,
            Error::TimedOut => Outcome::TimedOut,
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
