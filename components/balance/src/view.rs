//! What an entry believes of the platform's store: one table for each kind.
//!
//! Rows only move forward, whichever way they arrive. Backend servers whose
//! entries vanished while the store was away are kept for a while after its
//! return, since a live server enters itself again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tables::{Name, Row, Table};

use crate::config::Config;
use crate::content::{Content, Kind, Peer, Server};

/// Rows of one kind by name.
pub type Rows = Table<Name, Content>;

/// A change of one kind's rows, as entries tell each other.
pub type Delta = tables::Delta<Name, Content>;

/// Time after the store's return within which live servers are entered again.
/// From the platform's protocol.
const LAPSE_HOLD: Duration = Duration::from_secs(2);

/// What the store or another entry says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// All objects of a kind at a revision.
    Listing {
        /// The kind.
        kind: Kind,
        /// The revision.
        revision: u64,
        /// The objects.
        rows: Vec<(Name, Row<Content>)>,
    },
    /// Objects that changed.
    Changes {
        /// The kind.
        kind: Kind,
        /// The changes.
        delta: Delta,
    },
}

/// The tables of all kinds.
#[derive(Clone, Debug, Default)]
pub struct View {
    tables: BTreeMap<Kind, Rows>,
    known: BTreeSet<Kind>,
    // Servers whose rows vanished around an outage of the store, with the time
    // until which they are still used.
    lapsed: BTreeMap<Name, (Server, Duration)>,
    returned_at: Option<Duration>,
}

impl View {
    /// The revision up to which a kind is known.
    pub fn revision(&self, kind: Kind) -> u64 {
        self.tables.get(&kind).map_or(0, Table::revision)
    }

    /// Whether a kind was ever listed.
    pub fn is_known(&self, kind: Kind) -> bool {
        self.known.contains(&kind)
    }

    /// Notes that the store answers again after an outage.
    pub fn note_return(&mut self, now: Duration) {
        self.returned_at = Some(now);
    }

    /// Takes in an update. Returns whether anything changed.
    pub fn apply(&mut self, now: Duration, update: Update) -> bool {
        // Copies of all servers are only needed shortly after an outage.
        let held_until = self.returned_at.map(|at| at + LAPSE_HOLD).filter(|until| now < *until);
        let before = held_until.map(|until| (until, self.listed_servers()));
        let changed = match update {
            Update::Listing { kind, revision, rows } => {
                if revision < self.revision(kind) {
                    return false;
                }
                self.known.insert(kind);
                self.tables.entry(kind).or_default().replace(revision, rows)
            }
            Update::Changes { kind, delta } => {
                let whole = delta.since == 0;
                let table = self.tables.entry(kind).or_default();
                let changed = table.merge(delta);
                if whole && table.revision() > 0 {
                    self.known.insert(kind);
                }
                changed
            }
        };
        self.hold_lapsed(now, before);
        changed
    }

    /// Keeps servers that vanished just after an outage, from those that were
    /// listed before, until a time.
    fn hold_lapsed(&mut self, now: Duration, before: Option<(Duration, BTreeMap<Name, Server>)>) {
        let servers = self.tables.get(&Kind::Server);
        let is_listed = |name: &Name| {
            let row = servers.and_then(|table| table.row(name));
            row.is_some_and(|row| matches!(row.body, Some(Content::Server(_))))
        };
        self.lapsed.retain(|name, (_, until)| !is_listed(name) && now < *until);
        let Some((until, before)) = before else { return };
        for (name, server) in before {
            if !is_listed(&name) && !server.draining {
                self.lapsed.insert(name, (server, until));
            }
        }
    }

    fn listed_servers(&self) -> BTreeMap<Name, Server> {
        let rows = self.tables.get(&Kind::Server).into_iter().flat_map(Table::live);
        rows.filter_map(|(name, content)| match content {
            Content::Server(server) => Some((name.clone(), server.clone())),
            _ => None,
        })
        .collect()
    }

    /// All backend servers, those held after an outage included.
    pub fn servers(&self, now: Duration) -> BTreeMap<Name, Server> {
        let mut servers = self.listed_servers();
        for (name, (server, until)) in &self.lapsed {
            if now < *until {
                servers.entry(name.clone()).or_insert_with(|| server.clone());
            }
        }
        servers
    }

    /// Whether servers are held that no row names any more.
    pub fn has_lapsed(&self) -> bool {
        !self.lapsed.is_empty()
    }

    /// The configuration with the highest version, if one is known.
    pub fn config(&self) -> Option<&Config> {
        let rows = self.tables.get(&Kind::Config)?.live();
        let configs = rows.filter_map(|(_, content)| match content {
            Content::Config(config) => Some(config.as_ref()),
            _ => None,
        });
        configs.max_by_key(|config| config.version)
    }

    /// Whether operators took the zone out.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        let row = self.tables.get(&Kind::Zone).and_then(|table| table.row(&zone.into()));
        row.is_some_and(|row| row.body.is_some())
    }

    /// The entries that the store names.
    pub fn peers(&self) -> impl Iterator<Item = (&Name, &Peer)> {
        let rows = self.tables.get(&Kind::Peer).into_iter().flat_map(Table::live);
        rows.filter_map(|(name, content)| match content {
            Content::Peer(peer) => Some((name, peer)),
            _ => None,
        })
    }

    /// What changed in a kind after a revision.
    pub fn delta(&self, kind: Kind, since: u64) -> Delta {
        let empty = Delta { since, revision: 0, rows: Vec::new() };
        self.tables.get(&kind).map_or(empty, |table| table.delta(since))
    }
}
