//! State machine of one conditional write.
//!
//! If the reply is lost, it is unknown whether the write was applied. The row's
//! last change is then read back:
//!
//! - No change since the plan: the write has not been applied. Sending it again
//!   is safe because it is conditional.
//! - The desired value at a later version: the write was accepted.
//! - Any other change: the outcome stays unknown, since another operator may
//!   have changed the row before or after this write.

use std::time::Duration;

use platform::{Error, Object};
use serde::Serialize;
use serde_json::Value;

use crate::Change;

/// Minimum delay before a call is retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Start, or continue after a delay.
    Proceed,
    /// The write call returned.
    Replied(Result<u64, Error>),
    /// The read-back call returned.
    Read(Result<Reading, Error>),
}

/// The result of reading a row back: its changes since the plan.
#[derive(Clone, Debug, PartialEq)]
pub enum Reading {
    /// The row has not changed.
    Unchanged,
    /// The row has changed.
    Changed {
        /// The version of the last change.
        version: u64,
        /// The new value; `None` if the row was deleted.
        value: Option<Value>,
    },
    /// The row is absent, and the platform no longer retains its changes.
    Indeterminate,
}

/// The next action that the state machine requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send the write.
    Send,
    /// Read the row back.
    Read,
    /// Wait, then feed [`Input::Proceed`].
    Wait(Duration),
    /// The write has ended.
    Done(Outcome),
}

/// The outcome of a write.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The write was accepted.
    Accepted {
        /// The version of the row after the write.
        version: u64,
        /// Whether the reply was lost and the result read back.
        read_back: bool,
    },
    /// The row already had the desired value; nothing was written.
    Unchanged {
        /// The version of the row.
        version: u64,
    },
    /// The row was not at the required version. Nothing was written.
    Conflict {
        /// The current row; `None` if it is absent.
        current: Option<Object>,
    },
    /// It is unknown whether the write was accepted.
    Unknown {
        /// The row after its last change, which has another value; `None` if it
        /// was deleted or could not be read.
        current: Option<Object>,
    },
    /// The write was not accepted. Nothing was written.
    Refused {
        /// The cause.
        #[serde(serialize_with = "as_text")]
        error: Error,
    },
    /// The write was skipped because an earlier one was not accepted.
    NotTried,
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Send,
    Read,
}

/// The state of a write.
///
/// ```
/// use std::time::Duration;
/// use operator::{Change, Input, Outcome, Output, Write};
/// use platform::Expect;
/// use tables::{Key, Kind};
///
/// let key = Key { kind: Kind::Zone, name: "accra-1".into() };
/// let value = Some(serde_json::json!({"out": true}));
/// let change = Change { key, expect: Expect::Absent, value, since: 4 };
/// let mut write = Write::new(change, Duration::from_secs(5));
/// assert_eq!(write.step(Duration::ZERO, Input::Proceed), Output::Send);
/// let accepted = Outcome::Accepted { version: 7, read_back: false };
/// assert_eq!(write.step(Duration::ZERO, Input::Replied(Ok(7))), Output::Done(accepted));
/// ```
#[derive(Debug)]
pub struct Write {
    change: Change,
    deadline: Duration,
    next: Call,
    /// Whether a write without a reply may have been applied.
    maybe_applied: bool,
}

impl Write {
    /// Creates a write that ends at `deadline` at the latest, on the clock of
    /// [`Write::step`].
    pub fn new(change: Change, deadline: Duration) -> Write {
        Write { change, deadline, next: Call::Send, maybe_applied: false }
    }

    /// The change to write.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// Handles an input at time `now` and returns the next action.
    pub fn step(&mut self, now: Duration, input: Input) -> Output {
        match input {
            Input::Proceed => self.proceed(),
            Input::Replied(Ok(version)) => {
                Output::Done(Outcome::Accepted { version, read_back: false })
            }
            Input::Replied(Err(error)) => self.handle_error(now, error),
            Input::Read(Ok(reading)) => self.handle_reading(now, reading),
            Input::Read(Err(error)) => self.retry_later(now, Call::Read, error),
        }
    }

    fn proceed(&mut self) -> Output {
        match self.next {
            Call::Send => Output::Send,
            Call::Read => Output::Read,
        }
    }

    fn handle_error(&mut self, now: Duration, error: Error) -> Output {
        match error {
            Error::Unknown => {
                self.maybe_applied = true;
                self.next = Call::Read;
                Output::Read
            }
            // After a lost reply, this write itself may have caused the conflict.
            Error::Conflict { .. } if self.maybe_applied => {
                self.next = Call::Read;
                Output::Read
            }
            Error::Conflict { current } => Output::Done(Outcome::Conflict { current }),
            Error::Busy { .. } | Error::Unreachable => self.retry_later(now, self.next, error),
            error => self.end_with_error(error),
        }
    }

    fn handle_reading(&mut self, now: Duration, reading: Reading) -> Output {
        match reading {
            Reading::Unchanged => self.retry_later(now, Call::Send, Error::Unknown),
            Reading::Changed { version, value } if value == self.change.value => {
                Output::Done(Outcome::Accepted { version, read_back: true })
            }
            Reading::Changed { version, value } => {
                let name = self.change.key.name.clone();
                let current = value.map(|value| Object { name, version, value });
                Output::Done(Outcome::Unknown { current })
            }
            Reading::Indeterminate => Output::Done(Outcome::Unknown { current: None }),
        }
    }

    fn retry_later(&mut self, now: Duration, next: Call, error: Error) -> Output {
        let delay = match error {
            Error::Busy { retry_after } => retry_after.max(MIN_RETRY_DELAY),
            _ => MIN_RETRY_DELAY,
        };
        if now + delay > self.deadline {
            return self.end_with_error(error);
        }
        self.next = next;
        Output::Wait(delay)
    }

    fn end_with_error(&self, error: Error) -> Output {
        Output::Done(match self.maybe_applied {
            true => Outcome::Unknown { current: None },
            false => Outcome::Refused { error },
        })
    }
}

fn as_text<S: serde::Serializer>(error: &Error, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(error)
}

impl Reading {
    /// Derives the result from the current row when the platform no longer
    /// retains its changes. An absent row leaves the outcome open: it may never
    /// have existed or may have been written and deleted since.
    ///
    /// ```
    /// use operator::{Change, Reading};
    /// use tables::{Key, Kind};
    ///
    /// let key = Key { kind: Kind::Zone, name: "accra-1".into() };
    /// let change = Change { key, expect: platform::Expect::Absent, value: None, since: 4 };
    /// assert_eq!(Reading::of_object(&change, None), Reading::Indeterminate);
    /// ```
    pub fn of_object(change: &Change, object: Option<Object>) -> Reading {
        match object {
            None => Reading::Indeterminate,
            Some(object) if change.expect == platform::Expect::Version(object.version) => {
                Reading::Unchanged
            }
            Some(Object { version, value, .. }) => Reading::Changed { version, value: Some(value) },
        }
    }
}
