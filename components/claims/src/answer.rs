//! Recorded answers and reasons for denial.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::{DurationMilliSeconds, serde_as};
use tables::Name;

/// The complete answer of a backend server, recorded to answer resent requests.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are forwarded to the caller.
    pub headers: Vec<(Name, Name)>,
    /// The body; base64 in JSON.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
}

impl Answer {
    /// Size of headers and body, in bytes.
    ///
    /// ```
    /// let answer = claims::Answer { status: 200, headers: vec![], body: b"ok".to_vec() };
    /// assert_eq!(answer.size(), 2);
    /// ```
    pub fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// Reason for denying a ticket. A denied ticket's request is never executed.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Denial {
    /// An earlier request with this key is running on this agent.
    Running,
    /// The key was used for a request with a different fingerprint.
    Mismatch,
    /// An earlier attempt may have been executed; its result is unknown.
    Unknown,
    /// An earlier attempt completed with this answer.
    Finished(Answer),
    /// An earlier attempt completed; its answer was not recorded.
    Ran,
    /// The claim could not be confirmed; the request was not executed.
    Unavailable {
        /// Time after which the caller may retry.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
}
