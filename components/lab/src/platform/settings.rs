//! Settings and faults of the stand-in.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{DurationMilliSeconds, serde_as};
use tables::{Host, Name};

/// Changes that are kept for watches.
const HISTORY: usize = 10_000;
/// Objects on one page of a listing.
const PAGE: usize = 1000;

/// How the stand-in behaves and what it holds at first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Most reads a second, a watch counted as one; nothing for no bound.
    pub reads_per_second: Option<u32>,
    /// Most writes a second; nothing for no bound.
    pub writes_per_second: Option<u32>,
    /// Most watches that wait at a time; nothing for no bound.
    pub waiting_limit: Option<u32>,
    /// Number of changes that are kept for watches.
    pub history: usize,
    /// Number of objects on one page of a listing.
    pub page: usize,
    /// Faults from the start on.
    pub fault: Fault,
    /// Values of the first objects, by kind and name.
    pub objects: BTreeMap<Name, BTreeMap<Name, Value>>,
    /// The first hosts.
    pub hosts: Vec<Host>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            reads_per_second: None,
            writes_per_second: None,
            waiting_limit: None,
            history: HISTORY,
            page: PAGE,
            fault: Fault::default(),
            objects: BTreeMap::new(),
            hosts: Vec::new(),
        }
    }
}

/// Faults on command. A new set takes the place of the one before.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Whether every call fails with status 503 and without effect; waiting
    /// watches are cut off as well.
    pub outage: bool,
    /// Time that each call takes, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "latency_ms")]
    pub latency: Duration,
    /// Number of writes whose reply is lost after they took effect.
    pub lose_replies: u32,
    /// Time by which replies to watches are late, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "watch_delay_ms")]
    pub watch_delay: Duration,
}
