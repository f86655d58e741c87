//! One conditional write, from the first sending to what is known of it.
//!
//! A reply that is lost leaves the effect open. Then the row's last change is
//! read back: none since the plan means that the write has not arrived, and
//! since it is conditional it may be sent again; the wanted value at a later
//! version means that it was accepted; anything else can't be told apart from
//! a change by another operator that came first or after.

use std::time::Duration;

use platform::{Error, Object};
use serde::Serialize;
use serde_json::Value;

use crate::Change;

/// Wait before a call is tried again.
const RETRY: Duration = Duration::from_millis(200);

/// What a write is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Begin, or go on after the wait is over.
    Go,
    /// The write came back.
    Replied(Result<u64, Error>),
    /// The reading back came back.
    Read(Result<Reading, Error>),
}

/// What became of the row since the plan.
#[derive(Clone, Debug, PartialEq)]
pub enum Reading {
    /// It has not changed.
    Unchanged,
    /// It has changed, to this value at this version; no value is a deletion.
    Changed {
        /// The version of its last change.
        version: u64,
        /// The value, or nothing if it was deleted.
        value: Option<Value>,
    },
    /// It is absent, and whether it changed is no longer recorded.
    Forgotten,
}

/// What a write wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send the write.
    Send,
    /// Read the row back.
    Read,
    /// Wait, then go on.
    Wait(Duration),
    /// The write is over.
    Done(Outcome),
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// It was accepted.
    Accepted {
        /// Its version.
        version: u64,
        /// Whether this was read back since the reply was lost.
        read_back: bool,
    },
    /// The row was as wanted already; nothing was written.
    Unchanged {
        /// Its version.
        version: u64,
    },
    /// Another change came first. Nothing was changed.
    Conflict {
        /// The row as it is now, or nothing if it is absent.
        current: Option<Object>,
    },
    /// Whether it was accepted can't be told.
    Unknown {
        /// The row's last change, if it could be read: not the wanted one.
        current: Option<Object>,
    },
    /// It was not accepted. Nothing was changed.
    Refused {
        /// Why.
        #[serde(serialize_with = "as_text")]
        error: Error,
    },
    /// It was not tried, since one before it was not accepted.
    NotTried,
}

#[derive(Clone, Copy, Debug)]
enum Next {
    Send,
    Read,
}

/// A write under way.
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
/// assert_eq!(write.step(Duration::ZERO, Input::Go), Output::Send);
/// let accepted = Outcome::Accepted { version: 7, read_back: false };
/// assert_eq!(write.step(Duration::ZERO, Input::Replied(Ok(7))), Output::Done(accepted));
/// ```
#[derive(Debug)]
pub struct Write {
    change: Change,
    deadline: Duration,
    next: Next,
    /// Whether a sending without a reply may have taken effect.
    doubt: bool,
}

impl Write {
    /// A write that gives up at `deadline`.
    pub fn new(change: Change, deadline: Duration) -> Write {
        Write { change, deadline, next: Next::Send, doubt: false }
    }

    /// The change.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// Takes in what happened and says what to do next.
    pub fn step(&mut self, now: Duration, input: Input) -> Output {
        match input {
            Input::Go => self.go(),
            Input::Replied(Ok(version)) => {
                Output::Done(Outcome::Accepted { version, read_back: false })
            }
            Input::Replied(Err(error)) => self.take_failure(now, error),
            Input::Read(Ok(reading)) => self.take_reading(now, reading),
            Input::Read(Err(error)) => self.pause(now, Next::Read, error),
        }
    }

    fn go(&mut self) -> Output {
        match self.next {
            Next::Send => Output::Send,
            Next::Read => Output::Read,
        }
    }

    fn take_failure(&mut self, now: Duration, error: Error) -> Output {
        match error {
            Error::Unknown => {
                self.doubt = true;
                self.next = Next::Read;
                Output::Read
            }
            // After a lost reply the conflict may be with this very write.
            Error::Conflict { .. } if self.doubt => {
                self.next = Next::Read;
                Output::Read
            }
            Error::Conflict { current } => Output::Done(Outcome::Conflict { current }),
            Error::Busy { .. } | Error::Unreachable => self.pause(now, self.next, error),
            error => self.give_up(error),
        }
    }

    fn take_reading(&mut self, now: Duration, reading: Reading) -> Output {
        match reading {
            Reading::Unchanged => self.pause(now, Next::Send, Error::Unknown),
            Reading::Changed { version, value } if value == self.change.value => {
                Output::Done(Outcome::Accepted { version, read_back: true })
            }
            Reading::Changed { version, value } => {
                let name = self.change.key.name.clone();
                let current = value.map(|value| Object { name, version, value });
                Output::Done(Outcome::Unknown { current })
            }
            Reading::Forgotten => Output::Done(Outcome::Unknown { current: None }),
        }
    }

    fn pause(&mut self, now: Duration, next: Next, error: Error) -> Output {
        let wait = match error {
            Error::Busy { retry_after } => retry_after.max(RETRY),
            _ => RETRY,
        };
        if now + wait > self.deadline {
            return self.give_up(error);
        }
        self.next = next;
        Output::Wait(wait)
    }

    fn give_up(&self, error: Error) -> Output {
        Output::Done(match self.doubt {
            true => Outcome::Unknown { current: None },
            false => Outcome::Refused { error },
        })
    }
}

fn as_text<S: serde::Serializer>(error: &Error, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(error)
}

impl Reading {
    /// What the present state of a row tells when its changes are no longer
    /// kept. Absence tells nothing of what came before it.
    ///
    /// ```
    /// use operator::{Change, Reading};
    /// use tables::{Key, Kind};
    ///
    /// let key = Key { kind: Kind::Zone, name: "accra-1".into() };
    /// let change = Change { key, expect: platform::Expect::Absent, value: None, since: 4 };
    /// assert_eq!(Reading::of_object(&change, None), Reading::Forgotten);
    /// ```
    pub fn of_object(change: &Change, object: Option<Object>) -> Reading {
        match object {
            None => Reading::Forgotten,
            Some(object) if change.expect == platform::Expect::Version(object.version) => {
                Reading::Unchanged
            }
            Some(Object { version, value, .. }) => Reading::Changed { version, value: Some(value) },
        }
    }
}
