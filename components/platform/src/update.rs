//! Updates of tables and host list that a watch outputs.

use serde_json::Value;
use tables::{Body, Delta, Host, Key, Kind, Name, Row, Table};

use crate::{Change, Changes, Listing};

/// A change of the local copy of the platform's tables and hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// All rows at a revision.
    Listing {
        /// The revision at which the listing is complete.
        revision: u64,
        /// The rows.
        rows: Vec<(Key, Row)>,
        /// Rows whose value can't be decoded; the table keeps their previous content.
        malformed: Vec<Key>,
    },
    /// Rows changed since a revision.
    Delta {
        /// The rows and revisions.
        delta: Delta,
        /// Rows whose value can't be decoded; the table keeps their previous content.
        malformed: Vec<Key>,
    },
    /// The host list.
    Hosts {
        /// The revision of its last change.
        revision: u64,
        /// All hosts.
        hosts: Vec<Host>,
    },
    /// No reply within `stale_after`: the local copy may be outdated.
    Stale,
    /// The platform replies: the local copy is up to date.
    Fresh,
}

impl Update {
    /// Combines the listings of all kinds into one update.
    ///
    /// Each kind is listed at its own revision, and the update has the lowest.
    /// The watch returns the changes after it again, which is harmless.
    ///
    /// ```
    /// use tables::Kind;
    /// let listing = |revision| platform::Listing { revision, ..Default::default() };
    /// let update = platform::Update::from_listings(vec![(Kind::Route, listing(9)), (Kind::Pool, listing(7))]);
    /// assert!(matches!(update, platform::Update::Listing { revision: 7, .. }));
    /// ```
    pub fn from_listings(listings: Vec<(Kind, Listing)>) -> Update {
        let revision = listings.iter().map(|(_, listing)| listing.revision).min().unwrap_or(0);
        let mut rows = Vec::new();
        let mut malformed = Vec::new();
        for (kind, listing) in listings {
            for object in listing.objects {
                let key = Key { kind, name: object.name };
                match decode_row(kind, object.version, Some(object.value)) {
                    Some(row) => rows.push((key, row)),
                    None => malformed.push(key),
                }
            }
        }
        Update::Listing { revision, rows, malformed }
    }

    /// Converts the changes since a revision into an update.
    ///
    /// ```
    /// let update = platform::Update::from_changes(3, Default::default());
    /// assert!(matches!(update, platform::Update::Delta { .. }));
    /// ```
    pub fn from_changes(since: u64, changes: Changes) -> Update {
        let revision = changes.revision;
        let mut rows = Vec::new();
        let mut malformed = Vec::new();
        for Change { kind, name, version, value } in changes.changes {
            let Some(kind) = Kind::parse(&kind) else { continue };
            let key = Key { kind, name };
            match decode_row(kind, version, value) {
                Some(row) => rows.push((key, row)),
                None => malformed.push(key),
            }
        }
        Update::Delta { delta: Delta { since, revision, rows }, malformed }
    }

    /// Applies the update to a table. Returns whether anything changed.
    ///
    /// ```
    /// let mut table = tables::Table::default();
    /// let update = platform::Update::Listing { revision: 4, rows: vec![], malformed: vec![] };
    /// assert!(update.apply(&mut table));
    /// assert_eq!(table.revision(), 4);
    /// ```
    pub fn apply(self, table: &mut Table) -> bool {
        match self {
            Update::Listing { revision, mut rows, malformed } => {
                // Rows that can't be decoded still exist: they must not count as deleted.
                let retained = malformed.into_iter().filter_map(|key| known_row(table, key));
                rows.extend(retained.collect::<Vec<_>>());
                table.replace(revision, rows)
            }
            Update::Delta { delta, .. } => table.merge(delta),
            Update::Hosts { .. } | Update::Stale | Update::Fresh => false,
        }
    }
}

/// Names of all kinds of rows, for a watch call.
pub(crate) fn kind_names() -> Vec<&'static str> {
    Kind::ALL.into_iter().map(Kind::as_str).collect()
}

fn decode_row(kind: Kind, version: u64, value: Option<Value>) -> Option<Row> {
    let Some(value) = value else { return Some(Row { version, body: None }) };
    let body = Body::from_value(kind, value).ok()?;
    Some(Row { version, body: Some(body) })
}

fn known_row(table: &Table, key: Key) -> Option<(Key, Row)> {
    let row = table.row(&key)?.clone();
    Some((key, row))
}

/// Names of the rows, for a log message.
pub(crate) fn row_names(keys: &[Key]) -> Vec<Name> {
    keys.iter().map(|key| key.name.clone()).collect()
}
