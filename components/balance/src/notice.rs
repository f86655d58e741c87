//! What backend servers say of themselves in answers: that they leave, or that
//! they want no requests for a while.
//!
//! Kept apart from the members, so that a description that vanishes from the
//! store and returns doesn't make it forgotten. A notice belongs to one start
//! of a server; a later start under the same name is free of it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tables::Name;

/// Time after which a notice about a server that nobody names is dropped:
/// longer than any server takes to leave.
const LIFETIME: Duration = Duration::from_secs(600);

/// One start of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Start {
    /// Identifier of the server.
    pub server: Name,
    /// Unix time of the start, in milliseconds.
    #[serde(rename = "born")]
    pub started_ms: u64,
}

/// The notices that hold.
///
/// ```
/// use std::time::Duration;
/// use balance::notice::{Notices, Start};
/// let mut notices = Notices::default();
/// let start = Start { server: "s1".into(), started_ms: 1 };
/// notices.leave(Duration::ZERO, start.clone());
/// assert!(notices.is_barred(Duration::from_secs(60), &start));
/// assert!(!notices.is_barred(Duration::ZERO, &Start { started_ms: 2, ..start }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Notices {
    /// Starts that leave, with the time of the latest word of it.
    leaving: BTreeMap<Start, Duration>,
    /// Starts that want no requests, with the time until which.
    quiet: BTreeMap<Start, Duration>,
}

impl Notices {
    /// A server says that it leaves. Returns whether that is news.
    pub fn leave(&mut self, now: Duration, start: Start) -> bool {
        self.leaving.insert(start, now).is_none()
    }

    /// A server turned a request away and wants no others for `wait`. A shorter
    /// wait does not take back a longer one. Returns whether that is news.
    pub fn back_off(&mut self, now: Duration, start: Start, wait: Duration) -> bool {
        let until = now.saturating_add(wait);
        let known = self.quiet.entry(start).or_insert(now);
        let news = *known <= now && until > now;
        *known = until.max(*known);
        news
    }

    /// Whether a server must get no requests now.
    pub fn is_barred(&self, now: Duration, start: &Start) -> bool {
        self.leaving.contains_key(start) || self.quiet.get(start).is_some_and(|until| now < *until)
    }

    /// The starts that leave, for the other entries. What servers want to be
    /// spared concerns this entry alone.
    pub fn told(&self) -> Vec<Start> {
        self.leaving.keys().cloned().collect()
    }

    /// Drops what has lapsed. `is_named` tells whether a server is still known.
    pub fn sweep(&mut self, now: Duration, is_named: impl Fn(&Start) -> bool) {
        self.quiet.retain(|_, until| now < *until);
        self.leaving.retain(|start, heard| is_named(start) || now < *heard + LIFETIME);
    }
}
