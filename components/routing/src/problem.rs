//! Error answers that the entry itself gives to callers.

use std::time::Duration;

use serde::Serialize;
use wire::{Execution, Reason};

/// Cause of a problem.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// No client account has the bearer key.
    Unauthorized,
    /// No route matches the request.
    NoRoute,
    /// The request is malformed.
    Malformed,
    /// The head or the body is larger than allowed.
    TooLarge,
    /// The body arrived too slowly.
    Slow,
    /// The deadline has passed.
    Deadline,
    /// The entry has too many requests open.
    Overloaded,
    /// The entry is shutting down.
    Leaving,
    /// An agent refused the request, or an attempt failed.
    Refused(Reason),
}

/// A problem reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Problem {
    /// The cause.
    pub code: Code,
    /// Whether the request has run.
    pub execution: Execution,
    /// Time after which to retry; `None` if a retry is not advised.
    pub retry_after: Option<Duration>,
}

/// Retry delay for callers when no agent gave one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Problem {
    /// Creates a problem found before any attempt was sent.
    ///
    /// ```
    /// use routing::problem::{Code, Problem};
    /// assert_eq!(Problem::before_dispatch(Code::NoRoute).status(), 404);
    /// ```
    pub fn before_dispatch(code: Code) -> Problem {
        let retry_after =
            matches!(code, Code::Overloaded | Code::Leaving).then_some(DEFAULT_RETRY_AFTER);
        Problem { code, execution: Execution::NotRun, retry_after }
    }

    /// Creates a problem for a request that failed for `reason`.
    pub fn refused(reason: Reason, execution: Execution, retry_after: Option<Duration>) -> Problem {
        let retry_after = is_retryable(reason).then(|| retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
        Problem { code: Code::Refused(reason), execution, retry_after }
    }

    /// The HTTP status.
    pub fn status(&self) -> u16 {
        match self.code {
            Code::Unauthorized => 401,
            Code::NoRoute => 404,
            Code::Malformed => 400,
            Code::TooLarge => 413,
            Code::Slow => 408,
            Code::Deadline => 504,
            Code::Leaving if self.execution != Execution::NotRun => 502,
            Code::Overloaded | Code::Leaving => 503,
            Code::Refused(reason) => refused_status(reason),
        }
    }
}

/// Whether the same request may succeed later.
fn is_retryable(reason: Reason) -> bool {
    !matches!(reason, Reason::Mismatch | Reason::Poison | Reason::Unknown | Reason::TooLarge)
}

fn refused_status(reason: Reason) -> u16 {
    match reason {
        Reason::Running | Reason::Unknown => 409,
        Reason::Mismatch => 422,
        Reason::Poison => 422,
        Reason::Share => 429,
        Reason::Broken | Reason::Crashed | Reason::TooLarge => 502,
        _ => 503,
    }
}
