//! Replication of the configuration table between processes.
//!
//! Each frame carries the table revision of its sender. A process that receives a
//! higher revision than its own requests the rows changed since its own from that peer.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tables::{Delta, Key, Name, Row, Table};

use crate::Message;

/// Minimum interval between two pull requests to one peer.
const PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of peers for which the time of the last pull request is kept.
const PEER_LIMIT: usize = 1024;

/// The table of a process and the times of its pull requests.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    table: Table,
    last_pulls: HashMap<Name, Duration>,
}

impl Gossip {
    /// The table of this process.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Handles the revision in a frame from the peer at `link`. Returns the pull
    /// request to send to it if this process is behind and has sent none within
    /// the last 500 ms.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut gossip = wire::Gossip::default();
    /// let pull = gossip.observe(Duration::ZERO, &"tcp://127.0.0.1:7".into(), 4);
    /// assert_eq!(pull, Some(wire::Message::Pull(0)));
    /// ```
    pub fn observe(&mut self, now: Duration, link: &Name, revision: u64) -> Option<Message> {
        if revision <= self.table.revision() {
            return None;
        }
        let is_recent = |sent: &Duration| now.saturating_sub(*sent) < PULL_INTERVAL;
        if self.last_pulls.get(link).is_some_and(is_recent) {
            return None;
        }
        if self.last_pulls.len() >= PEER_LIMIT {
            self.last_pulls.clear();
        }
        self.last_pulls.insert(link.clone(), now);
        Some(Message::Pull(self.table.revision()))
    }

    /// Returns the rows changed since a revision, to answer a pull request.
    pub fn delta(&self, since: u64) -> Delta {
        self.table.delta(since)
    }

    /// Merges rows from a peer. Returns whether any row changed.
    pub fn merge(&mut self, delta: Delta) -> bool {
        self.table.merge(delta)
    }

    /// Merges rows from this process's own watch of the platform, which has no
    /// gaps. Returns whether any row changed.
    ///
    /// The platform's revision also counts changes of other kinds of objects. The
    /// table uses the version of its last changed row instead, so that processes
    /// with equal rows have equal revisions and send no needless pull requests.
    pub fn apply_changes(&mut self, delta: Delta) -> bool {
        let since = delta.since.min(self.table.revision());
        let revision = newest(&delta.rows).max(since);
        self.table.merge(Delta { since, revision, rows: delta.rows })
    }

    /// Applies a complete listing from the platform. Returns whether any row
    /// changed. Rows that could not be decoded exist, so their current content is kept.
    pub fn apply_listing(
        &mut self,
        revision: u64,
        mut rows: Vec<(Key, Row)>,
        malformed: Vec<Key>,
    ) -> bool {
        for key in malformed {
            let row = self.table.row(&key).cloned();
            rows.extend(row.map(|row| (key, row)));
        }
        let current = self.table.content();
        let listed: BTreeSet<&Key> = rows.iter().map(|(key, _)| key).collect();
        if current.keys().all(|key| listed.contains(key)) {
            let revision = newest(&rows);
            return self.table.merge(Delta { since: 0, revision, rows });
        }
        self.table.replace(revision, rows)
    }
}

fn newest(rows: &[(Key, Row)]) -> u64 {
    rows.iter().map(|(_, row)| row.version).max().unwrap_or(0)
}
