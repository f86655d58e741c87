//! Holds: state from before a restore of the store that stays in force.
//!
//! A store restored from an older copy has lost the writes made since that copy.
//! Operators and backend servers repeat them, which takes a while. Until a row
//! is written again, or its hold expires, the state from before the restore
//! applies: a zone stays out, a server that left or drains gets no requests.
//! Time without contact to the store doesn't count towards expiry.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSecondsWithFrac, serde_as};
use tables::Name;

use crate::notice::Start;

/// Duration of a server's hold, in heartbeats of the server: the store drops a
/// server after three missed heartbeats (platform protocol), plus two for the
/// return of the store.
const HELD_HEARTBEATS: u32 = 5;

/// Time for which a zone that was put back into service stays in use although
/// the restored copy lists it as out. Shorter than the time allowed until a zone
/// that was taken out gets its last request: an operator may take the zone out
/// again, and the store reports no change for a write that changes nothing.
const ZONE_IN_HOLD: Duration = Duration::from_secs(2);

/// Durations of holds. From the platform's settings.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Time for which a zone stays out although the restored store doesn't list
    /// it: the length of the store's history.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "zone_ms")]
    pub zone: Duration,
    /// Heartbeat interval of backend servers, at which each rewrites its row.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "heartbeat_ms")]
    pub heartbeat: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { zone: Duration::from_secs(20), heartbeat: Duration::from_millis(1200) }
    }
}

/// Subject of a hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// The zone of this name is out of service.
    ZoneOut(Name),
    /// The zone of this name is in use.
    ZoneIn(Name),
    /// This start of a server has left or drains.
    Server(Start),
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    until: Duration,
    /// Version of the row in the restored copy, 0 if it has none. A later
    /// version was written after the restore and ends the hold.
    version: u64,
}

/// A hold as reported to other entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Subject of the hold.
    pub subject: Subject,
    /// Version of its row in the restored copy, 0 if it has none.
    pub version: u64,
    /// Remaining time, in milliseconds.
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
    /// Holds reported by other entries, for an entry that started after the
    /// restore. They are not passed on, since entries would then renew each
    /// other's holds forever.
    reported: BTreeMap<Subject, Hold>,
}

impl Holds {
    /// Creates an empty set of holds.
    pub fn new(bounds: Bounds) -> Holds {
        Holds { bounds, ..Holds::default() }
    }

    /// Begins a hold on a row that the restored copy has at `version`.
    pub fn begin(&mut self, now: Duration, subject: Subject, version: u64) {
        let until = match &subject {
            Subject::ZoneOut(_) => now + self.bounds.zone,
            // Not extended by further restores.
            Subject::ZoneIn(_) => {
                self.own.get(&subject).map_or(now + ZONE_IN_HOLD, |hold| hold.until)
            }
            Subject::Server(_) => now + self.bounds.heartbeat * HELD_HEARTBEATS,
        };
        self.own.insert(subject, Hold { until, version });
    }

    /// Ends the hold of a subject if its row's `version` is later than that in
    /// the restored copy.
    pub fn end_rewritten(&mut self, subject: &Subject, version: u64) {
        for holds in [&mut self.own, &mut self.reported] {
            if holds.get(subject).is_some_and(|hold| hold.version < version) {
                holds.remove(subject);
            }
        }
    }

    /// Ends the holds of zones in use for which `is_over` returns true.
    pub fn end_zones_in(&mut self, is_over: impl Fn(&Name) -> bool) {
        self.own.retain(|subject, _| !matches!(subject, Subject::ZoneIn(zone) if is_over(zone)));
    }

    /// Whether a subject is held.
    pub fn contains(&self, now: Duration, subject: &Subject) -> bool {
        let holds = [&self.own, &self.reported];
        holds.iter().any(|holds| holds.get(subject).is_some_and(|hold| now < hold.until))
    }

    /// The subjects that are held. Here and below, `as_of` returns the time up
    /// to which the rows of a subject's kind are known to be current.
    pub fn subjects(&self, as_of: impl Fn(&Subject) -> Duration) -> impl Iterator<Item = &Subject> {
        let all = self.own.iter().chain(&self.reported);
        all.filter(move |(subject, hold)| as_of(subject) < hold.until).map(|(subject, _)| subject)
    }

    /// The holds of this entry, for the heartbeat.
    pub fn reports(&self, as_of: impl Fn(&Subject) -> Duration) -> Vec<Report> {
        let report = |(subject, hold): (&Subject, &Hold)| {
            let left = hold.until.checked_sub(as_of(subject))?.as_millis();
            let left_ms = u32::try_from(left).unwrap_or(u32::MAX);
            // Holds of zones in use are short and not needed for safety.
            let needed = !matches!(subject, Subject::ZoneIn(_)) && left_ms > 0;
            needed.then(|| Report { subject: subject.clone(), version: hold.version, left_ms })
        };
        self.own.iter().filter_map(report).collect()
    }

    /// Applies a hold that another entry reported.
    pub fn apply_report(&mut self, now: Duration, report: Report) {
        let left = Duration::from_millis(report.left_ms.into());
        let until = now + left.min(self.bounds.zone.max(self.bounds.heartbeat * HELD_HEARTBEATS));
        self.reported.insert(report.subject, Hold { until, version: report.version });
    }

    /// Drops expired holds.
    pub fn sweep(&mut self, as_of: impl Fn(&Subject) -> Duration) {
        self.own.retain(|subject, hold| as_of(subject) < hold.until);
        self.reported.retain(|subject, hold| as_of(subject) < hold.until);
    }
}
