//! Configuration between processes: whoever is behind asks for what it lacks.
//!
//! Each frame carries its sender's table revision. A process that sees a
//! higher one than its own asks that peer for the rows since its own.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tables::{Delta, Key, Name, Row, Table};

use crate::Message;

/// Least time between two requests for rows to one peer.
const PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Most peers whose last request is remembered.
const PEER_LIMIT: usize = 1024;

/// A process's table and what it asked its peers for.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    table: Table,
    asked: HashMap<Name, Duration>,
}

impl Gossip {
    /// The table as far as this process knows.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Looks at a revision that the peer at `link` has shown. Returns the
    /// request to send there, if this process is behind.
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
        let recent = |asked: &Duration| now.saturating_sub(*asked) < PULL_INTERVAL;
        if self.asked.get(link).is_some_and(recent) {
            return None;
        }
        if self.asked.len() >= PEER_LIMIT {
            self.asked.clear();
        }
        self.asked.insert(link.clone(), now);
        Some(Message::Pull(self.table.revision()))
    }

    /// The rows for a peer that asks since a revision.
    pub fn delta(&self, since: u64) -> Delta {
        self.table.delta(since)
    }

    /// Takes in rows from a peer. Returns whether any changed.
    pub fn merge(&mut self, delta: Delta) -> bool {
        self.table.merge(delta)
    }

    /// Takes in rows from the process's own watch of the platform, which has
    /// no gaps.
    ///
    /// The platform counts changes of all kinds of objects. The table's own
    /// revision is that of its last changed row, so that processes with the
    /// same rows show the same revision and don't ask one another for nothing.
    pub fn apply_changes(&mut self, delta: Delta) -> bool {
        let since = delta.since.min(self.table.revision());
        let revision = newest(&delta.rows).max(since);
        self.table.merge(Delta { since, revision, rows: delta.rows })
    }

    /// Takes in a complete listing from the platform. Rows that could not be
    /// decoded are there, and what is known of them stays.
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
        let known = self.table.content();
        let listed: BTreeSet<&Key> = rows.iter().map(|(key, _)| key).collect();
        if known.keys().all(|key| listed.contains(key)) {
            let revision = newest(&rows);
            return self.table.merge(Delta { since: 0, revision, rows });
        }
        self.table.replace(revision, rows)
    }
}

fn newest(rows: &[(Key, Row)]) -> u64 {
    rows.iter().map(|(_, row)| row.version).max().unwrap_or(0)
}
