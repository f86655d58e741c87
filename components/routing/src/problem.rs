//! Answers of the entry itself, when there is none from a backend server.

use std::time::Duration;

use serde::Serialize;
use wire::{Execution, Reason};

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// No client account has the bearer key.
    Unauthorized,
    /// No route takes the request.
    NoRoute,
    /// The request is malformed.
    Malformed,
    /// The head or the body is larger than allowed.
    TooLarge,
    /// The deadline has passed.
    Deadline,
    /// The entry has too many requests open.
    Overloaded,
    /// The entry is leaving.
    Leaving,
    /// An agent refused, or an attempt failed.
    Refused(Reason),
}

/// A problem as the caller gets it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Problem {
    /// Why.
    pub code: Code,
    /// Whether the request has run.
    pub execution: Execution,
    /// When coming back makes sense, if it does.
    pub retry_after: Option<Duration>,
}

/// Time after which a caller is told to come back, if nobody knows better.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Problem {
    /// A problem found before the request went anywhere.
    ///
    /// ```
    /// use routing::problem::{Code, Problem};
    /// assert_eq!(Problem::before_dispatch(Code::NoRoute).status(), 404);
    /// ```
    pub fn before_dispatch(code: Code) -> Problem {
        let retry_after = matches!(code, Code::Overloaded | Code::Leaving).then_some(RETRY_AFTER);
        Problem { code, execution: Execution::NotRun, retry_after }
    }

    /// A problem after attempts that failed for `reason`.
    pub fn refused(reason: Reason, execution: Execution, retry_after: Option<Duration>) -> Problem {
        let retry_after = comes_back(reason).then(|| retry_after.unwrap_or(RETRY_AFTER));
        Problem { code: Code::Refused(reason), execution, retry_after }
    }

    /// The HTTP status.
    pub fn status(&self) -> u16 {
        match self.code {
            Code::Unauthorized => 401,
            Code::NoRoute => 404,
            Code::Malformed => 400,
            Code::TooLarge => 413,
            Code::Deadline => 504,
            Code::Overloaded | Code::Leaving => 503,
            Code::Refused(reason) => refused_status(reason),
        }
    }
}

/// Whether the same request may fare better later.
fn comes_back(reason: Reason) -> bool {
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
