//! Stored objects of a partition's claims and their encoding.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tables::Name;

use crate::Answer;

/// The value of an object is not valid JSON of the expected type.
#[derive(Debug, thiserror::Error)]
#[error("cannot decode claims object: {0}")]
pub struct DecodeError(#[from] serde_json::Error);

/// One incarnation of a process that writes claims.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Writer {
    /// The process's name in the host list.
    pub name: Name,
    /// Number unique among all incarnations of the process.
    pub incarnation: u64,
}

/// Execution state of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The writer may execute it, may be executing it or may have executed it.
    Claimed,
    /// It was never dispatched; the key can be claimed again.
    Released,
    /// It completed; the answer was not recorded.
    Ran,
    /// It completed with this answer.
    Finished(Answer),
}

/// The latest record of a key.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Hash of the request.
    pub fingerprint: u64,
    /// The writer that claimed the key.
    pub writer: Writer,
    /// Number of the claim, unique per writer.
    pub sequence: u64,
    /// Wall-clock time of the claim, since the Unix epoch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub time: Duration,
    /// Execution state of the request.
    pub state: State,
}

/// A reference from a head to an immutable segment.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// The segment's object name.
    pub name: Name,
    /// Wall-clock time of the newest claim, since the Unix epoch.
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

/// Content of a head object. Its records take precedence over those of segments,
/// and newer segments over older ones.
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
    /// Decodes the value of a head object.
    ///
    /// ```
    /// let head = claims::Head::decode(r#"{"records":{},"segments":[]}"#).unwrap();
    /// assert!(head.records.is_empty());
    /// assert!(claims::Head::decode("{").is_err());
    /// ```
    pub fn decode(value: &str) -> Result<Head, DecodeError> {
        Ok(serde_json::from_str(value)?)
    }

    /// Encodes the head as the value of its object.
    ///
    /// ```
    /// assert_eq!(claims::Head::default().encode(), r#"{"records":{},"segments":[]}"#);
    /// ```
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Size of the encoded segment list, in bytes.
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

/// Returns the object kind of a pool's claims on the platform.
///
/// ```
/// assert_eq!(claims::kind("bookings"), "claim-bookings");
/// ```
pub fn kind(pool: impl AsRef<str>) -> Name {
    arcstr::format!("claim-{}", pool.as_ref())
}

/// Returns the object name of a partition's head.
///
/// ```
/// assert_eq!(claims::head_name(7), "0007");
/// ```
pub fn head_name(partition: u32) -> Name {
    arcstr::format!("{partition:04}")
}
