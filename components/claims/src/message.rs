//! Inputs, outputs and settings of the ledger.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tables::Name;

use crate::{Answer, Denial};

/// An object stored on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Object {
    /// Version of the object's last change.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// An event for the ledger.
///
/// `call` is the number of the output that started the call; completions of
/// other calls are ignored.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// A request asks to be executed. Answered by one `Grant` or `Deny` unless abandoned.
    Begin {
        /// Number of the request, chosen by the caller and never reused.
        ticket: u64,
        /// The client account and the idempotency key, `ACCOUNT/KEY`.
        key: Name,
        /// Hash of the request, to detect reuse of the key for another request.
        fingerprint: u64,
        /// Time at which the request is denied if not yet granted, on the clock of `now`.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        deadline: Duration,
        /// Wall-clock time since the Unix epoch.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wall: Duration,
    },
    /// A granted request has completed.
    Finish {
        /// Ticket of the request.
        ticket: u64,
        /// The answer, if it is to be recorded.
        answer: Option<Answer>,
    },
    /// A granted request was dispatched and its result will remain unknown.
    Lost {
        /// Ticket of the request.
        ticket: u64,
    },
    /// A request, granted or not, was not dispatched and never will be.
    Abandon {
        /// Ticket of the request.
        ticket: u64,
    },
    /// A head was read.
    Loaded {
        /// Number of the call.
        call: u64,
        /// Number of the partition.
        partition: u32,
        /// The head object, or `None` if it does not exist.
        object: Option<Object>,
    },
    /// A segment was read.
    SegmentLoaded {
        /// Number of the call.
        call: u64,
        /// Number of the partition.
        partition: u32,
        /// The segment's value, or `None` if it does not exist.
        value: Option<String>,
    },
    /// A head was written.
    Stored {
        /// Number of the call.
        call: u64,
        /// Number of the partition.
        partition: u32,
        /// The head's new version.
        version: u64,
    },
    /// A segment was written.
    SegmentStored {
        /// Number of the call.
        call: u64,
        /// Number of the partition.
        partition: u32,
    },
    /// A write of the head failed because its version was not the expected one.
    Conflict {
        /// Number of the call.
        call: u64,
        /// Number of the partition.
        partition: u32,
    },
    /// The call timed out; it may or may not take effect.
    Failed {
        /// Number of the call.
        call: u64,
        /// Number of the partition.
        partition: u32,
    },
    /// The platform rejected the call; it has no effect.
    Busy {
        /// Number of the call.
        call: u64,
        /// Number of the partition.
        partition: u32,
        /// Time after which the platform accepts a retry.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// Timer event; due every few milliseconds while requests or claims are open.
    Tick {
        /// Wall-clock time since the Unix epoch.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wall: Duration,
    },
}

/// An action for the caller of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Output {
    /// Dispatch the request to the backend server, at most once.
    Grant {
        /// Ticket of the request.
        ticket: u64,
    },
    /// Do not dispatch the request.
    Deny {
        /// Ticket of the request.
        ticket: u64,
        /// Reason of the denial.
        denial: Denial,
    },
    /// Read the head of a partition.
    Load {
        /// Number of the call.
        call: u64,
        /// Number of the partition.
        partition: u32,
    },
    /// Read a segment.
    LoadSegment {
        /// Number of the call.
        call: u64,
        /// Number of the partition.
        partition: u32,
        /// The segment's object name.
        name: Name,
    },
    /// Write the head of a partition if its version is still `expect`.
    Store {
        /// Number of the call.
        call: u64,
        /// Number of the partition.
        partition: u32,
        /// The expected version; `None` if the head must not exist.
        expect: Option<u64>,
        /// The value.
        value: String,
    },
    /// Write a segment under its unique name.
    StoreSegment {
        /// Number of the call.
        call: u64,
        /// Number of the partition.
        partition: u32,
        /// The segment's object name.
        name: Name,
        /// The value.
        value: String,
    },
    /// Delete a segment that no head refers to. No completion is reported.
    DeleteSegment {
        /// Number of the partition.
        partition: u32,
        /// The segment's object name.
        name: Name,
    },
}

/// Limits and intervals of a ledger.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Minimum time for which a claim is kept.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retention_ms")]
    pub retention: Duration,
    /// Maximum clock skew between writers, added to the retention when trimming.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "skew_ms")]
    pub skew: Duration,
    /// Minimum interval between the starts of two writes of one partition.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "pace_ms")]
    pub pace: Duration,
    /// Initial backoff after a failed call; doubles with each further failure.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "backoff_ms")]
    pub backoff: Duration,
    /// Maximum backoff after a failed call.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "backoff_limit_ms")]
    pub backoff_limit: Duration,
    /// Time after which an unused partition is evicted from memory.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "idle_ms")]
    pub idle: Duration,
    /// Maximum size of a recorded answer, in bytes.
    pub answer_limit: usize,
    /// Size of a head's records above which they are moved to a segment, in bytes.
    pub spill_size: usize,
    /// Maximum size of a head, in bytes; larger heads are not written.
    pub head_limit: usize,
    /// Maximum number of changes in one write.
    pub batch_limit: usize,
    /// Maximum number of open requests and claims in the ledger.
    pub claim_limit: usize,
    /// Number of records in memory at which a partition is loaded only after
    /// evicting idle ones.
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
