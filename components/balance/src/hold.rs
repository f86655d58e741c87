//! Knowledge that is newer than a restored store.
//!
//! A store that comes back from an older copy has lost what was written since.
//! Operators and backend servers write it again, which takes a while. Until a
//! row is written again, or a time has passed, what was known of it before the
//! restore counts: a zone stays out, a server that left or drains gets nothing.
//! Time in which the entry hears nothing of the store doesn't count.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tables::Name;

use crate::notice::Start;

/// Heartbeats of a backend server that the store awaits before it drops the
/// server's entry, and two more for the store's return. From the platform's
/// protocol: three.
const HEARTBEATS: u32 = 5;

/// Longest time for which a zone that was taken back stays in use although the
/// copy has it out. Below the time in which a zone that is out gets its last
/// request, since an operator may take it out once more without a trace: a
/// write that changes nothing isn't told.
const ZONE_IN: Duration = Duration::from_secs(2);

/// How long knowledge is held. From the platform's settings.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// How long a zone stays out without a row that says so: as far back as the
    /// store keeps its history.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "zone_ms")]
    pub zone: Duration,
    /// Time between two writes of a backend server about itself.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "heartbeat_ms")]
    pub heartbeat: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { zone: Duration::from_secs(20), heartbeat: Duration::from_millis(1200) }
    }
}

/// What is held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// The zone of this name is out.
    ZoneOut(Name),
    /// The zone of this name is in use.
    ZoneIn(Name),
    /// This start of a server left or drains.
    Server(Start),
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    until: Duration,
    /// Version of the row in the copy, 0 if it has none. A later one was
    /// written after the restore and ends the hold.
    version: u64,
}

/// A hold as entries tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// What is held.
    pub subject: Subject,
    /// Version of its row in the restored copy, 0 if it has none.
    pub version: u64,
    /// How much longer, in milliseconds.
    pub left_ms: u32,
}

/// The holds of an entry.
///
/// ```
/// use std::time::Duration;
/// use balance::hold::{Bounds, Holds, Subject};
/// let mut holds = Holds::new(Bounds::default());
/// let out = Subject::ZoneOut("a".into());
/// holds.begin(Duration::ZERO, out.clone(), 0);
/// assert!(holds.contains(Duration::from_secs(5), &out));
/// holds.end_rewritten(&out, 812);
/// assert!(!holds.contains(Duration::from_secs(5), &out));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Holds {
    bounds: Bounds,
    own: BTreeMap<Subject, Hold>,
    /// Holds of other entries, for one that started after the restore. They
    /// are not passed on: each entry's word would prolong the other's.
    heard: BTreeMap<Subject, Hold>,
}

impl Holds {
    /// No holds yet.
    pub fn new(bounds: Bounds) -> Holds {
        Holds { bounds, ..Holds::default() }
    }

    /// Holds what was known of a row that the restored copy has at `version`.
    pub fn begin(&mut self, now: Duration, subject: Subject, version: u64) {
        let until = match &subject {
            Subject::ZoneOut(_) => now + self.bounds.zone,
            // Not longer over several restores in a row.
            Subject::ZoneIn(_) => self.own.get(&subject).map_or(now + ZONE_IN, |hold| hold.until),
            Subject::Server(_) => now + self.bounds.heartbeat * HEARTBEATS,
        };
        self.own.insert(subject, Hold { until, version });
    }

    /// The row of a subject stands at `version`: if that is later than the
    /// restored copy, the row speaks for itself.
    pub fn end_rewritten(&mut self, subject: &Subject, version: u64) {
        for holds in [&mut self.own, &mut self.heard] {
            if holds.get(subject).is_some_and(|hold| hold.version < version) {
                holds.remove(subject);
            }
        }
    }

    /// Ends holds of zones in use.
    pub fn end_zones_in(&mut self, is_over: impl Fn(&Name) -> bool) {
        self.own.retain(|subject, _| !matches!(subject, Subject::ZoneIn(zone) if is_over(zone)));
    }

    /// Whether something is held.
    pub fn contains(&self, now: Duration, subject: &Subject) -> bool {
        let holds = [&self.own, &self.heard];
        holds.iter().any(|holds| holds.get(subject).is_some_and(|hold| now < hold.until))
    }

    /// What is held. Here and below, `as_of` is the time up to which the store
    /// was heard of a subject's kind.
    pub fn subjects(&self, as_of: impl Fn(&Subject) -> Duration) -> impl Iterator<Item = &Subject> {
        let all = self.own.iter().chain(&self.heard);
        all.filter(move |(subject, hold)| as_of(subject) < hold.until).map(|(subject, _)| subject)
    }

    /// What the other entries are told.
    pub fn told(&self, as_of: impl Fn(&Subject) -> Duration) -> Vec<Told> {
        let told = |(subject, hold): (&Subject, &Hold)| {
            let left = hold.until.checked_sub(as_of(subject))?.as_millis();
            let left_ms = u32::try_from(left).unwrap_or(u32::MAX);
            // The short hold of a zone in use is no safeguard.
            let safeguard = !matches!(subject, Subject::ZoneIn(_)) && left_ms > 0;
            safeguard.then(|| Told { subject: subject.clone(), version: hold.version, left_ms })
        };
        self.own.iter().filter_map(told).collect()
    }

    /// Another entry holds something.
    pub fn hear(&mut self, now: Duration, told: Told) {
        let left = Duration::from_millis(told.left_ms.into());
        let until = now + left.min(self.bounds.zone.max(self.bounds.heartbeat * HEARTBEATS));
        self.heard.insert(told.subject, Hold { until, version: told.version });
    }

    /// Drops what is over.
    pub fn sweep(&mut self, as_of: impl Fn(&Subject) -> Duration) {
        self.own.retain(|subject, hold| as_of(subject) < hold.until);
        self.heard.retain(|subject, hold| as_of(subject) < hold.until);
    }
}
