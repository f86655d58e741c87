//! Recorded answers, and why a request is denied.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::{DurationMilliSeconds, serde_as};
use tables::Name;

/// The whole answer of a backend server, as it is recorded for a resend.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<(Name, Name)>,
    /// The body, in base64 within JSON.
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

/// Why a ticket is denied. The ticket's own request never runs afterwards.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Denial {
    /// An earlier request with the key is running on this agent.
    Running,
    /// The key belongs to another request.
    Mismatch,
    /// An earlier attempt may have run; its result is not known.
    Unknown,
    /// An earlier attempt ran to its end with this answer.
    Finished(Answer),
    /// An earlier attempt ran to its end; its answer was not kept.
    Ran,
    /// The claim could not be confirmed; the ticket's request has not run.
    Unavailable {
        /// When coming back makes sense.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
}
