//! What goes into the ledger and what comes out.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tables::Name;

use crate::{Answer, Denial};

/// An object as the platform holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Object {
    /// The version of the object's last change.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// An event for the ledger.
///
/// `call` is the number from the output that asked for the call; a completion
/// with any other number is ignored.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// A request asks to run. Answered by one `Grant` or `Deny`, unless abandoned.
    Begin {
        /// The caller's number for the request, never used again.
        ticket: u64,
        /// The idempotency key with its client account, `ACCOUNT/KEY`.
        key: Name,
        /// Hash of the request, to tell another request with the same key.
        fingerprint: u64,
        /// When to give up, on the clock of `now`.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        deadline: Duration,
        /// Wall-clock time since the Unix epoch.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wall: Duration,
    },
    /// A granted request ran to its end.
    Finish {
        /// The request's number.
        ticket: u64,
        /// The answer, if it is to be kept.
        answer: Option<Answer>,
    },
    /// A granted request was handed over and its result will not be known.
    Lost {
        /// The request's number.
        ticket: u64,
    },
    /// A request, granted or not, was not handed over and never will be.
    Abandon {
        /// The request's number.
        ticket: u64,
    },
    /// A head was read; nothing when it does not exist.
    Loaded {
        /// Number of the call.
        call: u64,
        /// The partition.
        partition: u32,
        /// The head object.
        object: Option<Object>,
    },
    /// A segment was read; nothing when it does not exist.
    SegmentLoaded {
        /// Number of the call.
        call: u64,
        /// The partition.
        partition: u32,
        /// The segment's value.
        value: Option<String>,
    },
    /// A head was written.
    Stored {
        /// Number of the call.
        call: u64,
        /// The partition.
        partition: u32,
        /// The head's new version.
        version: u64,
    },
    /// A segment was written.
    SegmentStored {
        /// Number of the call.
        call: u64,
        /// The partition.
        partition: u32,
    },
    /// The head was not at the expected version.
    Conflict {
        /// Number of the call.
        call: u64,
        /// The partition.
        partition: u32,
    },
    /// No reply within the call's timeout; its effect is unknown.
    Failed {
        /// Number of the call.
        call: u64,
        /// The partition.
        partition: u32,
    },
    /// The platform refused the call without effect.
    Busy {
        /// Number of the call.
        call: u64,
        /// The partition.
        partition: u32,
        /// When the platform wants to be asked again.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// Time has passed; due every few milliseconds while claims wait.
    Tick {
        /// Wall-clock time since the Unix epoch.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wall: Duration,
    },
}

/// What the ledger asks of its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Output {
    /// The request may be handed to the backend server, once.
    Grant {
        /// The request's number.
        ticket: u64,
    },
    /// The request must not be handed over.
    Deny {
        /// The request's number.
        ticket: u64,
        /// Why.
        denial: Denial,
    },
    /// Read the head of a partition.
    Load {
        /// Number of the call.
        call: u64,
        /// The partition.
        partition: u32,
    },
    /// Read a segment.
    LoadSegment {
        /// Number of the call.
        call: u64,
        /// The partition.
        partition: u32,
        /// The segment's object name.
        name: Name,
    },
    /// Write the head of a partition if it is still at version `expect`.
    Store {
        /// Number of the call.
        call: u64,
        /// The partition.
        partition: u32,
        /// The version expected; nothing means that the head must not exist.
        expect: Option<u64>,
        /// The value.
        value: String,
    },
    /// Write a segment under its unique name.
    StoreSegment {
        /// Number of the call.
        call: u64,
        /// The partition.
        partition: u32,
        /// The segment's object name.
        name: Name,
        /// The value.
        value: String,
    },
    /// Delete a segment that no head refers to. No completion is due.
    DeleteSegment {
        /// The partition.
        partition: u32,
        /// The segment's object name.
        name: Name,
    },
}

/// Limits and times of a ledger.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How long a claim is kept at least.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retention_ms")]
    pub retention: Duration,
    /// Largest difference between wall clocks that trimming allows for.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "skew_ms")]
    pub skew: Duration,
    /// Least time between the starts of two writes of one partition.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "pace_ms")]
    pub pace: Duration,
    /// First wait after a failed call; doubles with each further failure.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "backoff_ms")]
    pub backoff: Duration,
    /// Longest wait after a failed call.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "backoff_limit_ms")]
    pub backoff_limit: Duration,
    /// How long an unused partition stays in memory.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_ms")]
    pub idle: Duration,
    /// Largest answer that is kept, in bytes.
    pub answer_limit: usize,
    /// Size of a head's records from which they move to a segment, in bytes.
    pub spill_size: usize,
    /// Largest head that is written, in bytes.
    pub head_limit: usize,
    /// Most changes in one write.
    pub batch_limit: usize,
    /// Most requests open in the ledger at once.
    pub claim_limit: usize,
    /// Number of records in memory from which no further partition is loaded.
    pub record_limit: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            retention: Duration::from_secs(24 * 60 * 60),
            skew: Duration::from_secs(10 * 60),
            pace: Duration::from_millis(50),
            backoff: Duration::from_millis(100),
            backoff_limit: Duration::from_secs(5),
            idle: Duration::from_secs(10 * 60),
            answer_limit: 4 << 10,
            spill_size: 32 << 10,
            head_limit: 768 << 10,
            batch_limit: 64,
            claim_limit: 4096,
            record_limit: 200_000,
        }
    }
}
