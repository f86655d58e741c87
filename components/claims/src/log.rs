//! The objects that hold the claims of a partition, and their encoding.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tables::Name;

use crate::Answer;

/// A value of the platform that is not what this crate writes.
#[derive(Debug, thiserror::Error)]
#[error("claims object can't be read: {0}")]
pub struct DecodeError(#[from] serde_json::Error);

/// One life of a process that writes claims.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Writer {
    /// The process's name in the host list.
    pub name: Name,
    /// A number that no other life of a process of this name has.
    pub incarnation: u64,
}

/// How far a claimed request has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It may be running, may have run or may still be run by its writer.
    Claimed,
    /// It was never handed over: the key is free.
    Released,
    /// It ran to its end; the answer was not kept.
    Ran,
    /// It ran to its end with this answer.
    Finished(Answer),
}

/// The latest entry of a key.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Hash of the request.
    pub fingerprint: u64,
    /// Who claimed the key.
    pub writer: Writer,
    /// The claim's number, unique to the writer.
    pub sequence: u64,
    /// Wall-clock time of the claim, since the Unix epoch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub time: Duration,
    /// How far the request has come.
    pub state: State,
}

/// A reference from a head to an immutable segment.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// The segment's object name.
    pub name: Name,
    /// Time of the segment's newest claim.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub newest: Duration,
}

/// Records by hash of the key.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Records {
    #[serde_as(as = "BTreeMap<serde_with::DisplayFromStr, _>")]
    pub(crate) map: BTreeMap<u128, Record>,
}

/// The content of a head object. Its records go before those of the
/// segments, and a later segment goes before an earlier one.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// Recent records, by hash of the key.
    #[serde_as(as = "BTreeMap<serde_with::DisplayFromStr, _>")]
    pub records: BTreeMap<u128, Record>,
    /// Older records, oldest segment first.
    pub segments: Vec<Segment>,
}

impl Head {
    /// Reads a head from its value.
    ///
    /// ```
    /// let head = claims::Head::decode(r#"{"records":{},"segments":[]}"#).unwrap();
    /// assert!(head.records.is_empty());
    /// assert!(claims::Head::decode("{").is_err());
    /// ```
    pub fn decode(value: &str) -> Result<Head, DecodeError> {
        Ok(serde_json::from_str(value)?)
    }

    /// The head's value.
    ///
    /// ```
    /// assert_eq!(claims::Head::default().encode(), r#"{"records":{},"segments":[]}"#);
    /// ```
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Size of the list of segments within the value, in bytes.
    pub(crate) fn list_size(&self) -> usize {
        serde_json::to_string(&self.segments).unwrap_or_default().len()
    }
}

impl Records {
    pub(crate) fn decode(value: &str) -> Result<Records, DecodeError> {
        Ok(serde_json::from_str(value)?)
    }

    pub(crate) fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    pub(crate) fn newest(&self) -> Duration {
        self.map.values().map(|record| record.time).max().unwrap_or_default()
    }
}

/// The platform's kind of a pool's claim objects.
///
/// ```
/// assert_eq!(claims::kind("bookings"), "claim-bookings");
/// ```
pub fn kind(pool: impl AsRef<str>) -> Name {
    arcstr::format!("claim-{}", pool.as_ref())
}

/// The object name of a partition's head.
///
/// ```
/// assert_eq!(claims::head_name(7), "0007");
/// ```
pub fn head_name(partition: u32) -> Name {
    arcstr::format!("{partition:04}")
}
