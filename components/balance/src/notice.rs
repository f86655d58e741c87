//! Notices that backend servers send in responses: that they shut down, or that
//! clients must back off for a while.
//!
//! Notices are stored separately from the members, so that they survive when a
//! server's description disappears from the store and comes back. A notice
//! applies to one start of a server, not to a later start under the same name.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tables::Name;

/// Time after which a shutdown notice of a server that is no longer registered
/// is dropped. Longer than any server takes to shut down.
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

/// The notices in force.
///
/// ```
/// use std::time::Duration;
/// use balance::notice::{Notices, Start};
/// let mut notices = Notices::default();
/// let start = Start { server: "s1".into(), started_ms: 1 };
/// notices.leave(Duration::ZERO, start.clone());
/// assert!(notices.is_blocked(Duration::from_secs(60), &start));
/// assert!(!notices.is_blocked(Duration::ZERO, &Start { started_ms: 2, ..start }));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Notices {
    /// Starts that are shutting down, with the time of the latest notice.
    leaving: BTreeMap<Start, Duration>,
    /// Starts that asked for backoff, with the time at which it ends.
    backoffs: BTreeMap<Start, Duration>,
}

impl Notices {
    /// Records that a server is shutting down. Returns whether the notice is new.
    pub fn leave(&mut self, now: Duration, start: Start) -> bool {
        self.leaving.insert(start, now).is_none()
    }

    /// Records that a server refused a request and asked for no others for
    /// `wait`. A shorter wait doesn't replace a longer one. Returns whether a new
    /// backoff began.
    pub fn back_off(&mut self, now: Duration, start: Start, wait: Duration) -> bool {
        let until = now.saturating_add(wait);
        let current = self.backoffs.entry(start).or_insert(now);
        let is_new = *current <= now && until > now;
        *current = until.max(*current);
        is_new
    }

    /// Whether a server must not get requests now.
    pub fn is_blocked(&self, now: Duration, start: &Start) -> bool {
        self.leaving.contains_key(start)
            || self.backoffs.get(start).is_some_and(|until| now < *until)
    }

    /// The starts that are shutting down, for the heartbeat. Backoff isn't
    /// reported: it applies to this entry only.
    pub fn leaving_starts(&self) -> Vec<Start> {
        self.leaving.keys().cloned().collect()
    }

    /// Drops expired notices. `is_registered` returns whether a server is still
    /// known.
    pub fn sweep(&mut self, now: Duration, is_registered: impl Fn(&Start) -> bool) {
        self.backoffs.retain(|_, until| now < *until);
        self.leaving
            .retain(|start, noticed_at| is_registered(start) || now < *noticed_at + LIFETIME);
    }
}
