//! What a watch tells its owner.

use serde_json::Value;
use tables::{Body, Delta, Host, Key, Kind, Name, Row, Table};

use crate::{Change, Changes, Listing};

/// A change of what is known about the platform's tables and hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// All rows at a revision.
    Listing {
        /// The revision at which the listing is complete.
        revision: u64,
        /// The rows.
        rows: Vec<(Key, Row)>,
        /// Rows whose value can't be decoded; what was known of them stays.
        malformed: Vec<Key>,
    },
    /// Rows changed since a revision.
    Delta {
        /// The rows and revisions.
        delta: Delta,
        /// Rows whose value can't be decoded; what was known of them stays.
        malformed: Vec<Key>,
    },
    /// The host list.
    Hosts {
        /// The revision of its last change.
        revision: u64,
        /// All hosts.
        hosts: Vec<Host>,
    },
    /// The platform has not been heard for too long: what is known may be old.
    Stale,
    /// The platform is heard: what is known is up to date.
    Fresh,
}

impl Update {
    /// Joins the listings of all kinds to one update.
    ///
    /// Each kind is listed at a revision of its own. The lowest counts: what
    /// changed after it comes again with the watch, which changes nothing.
    ///
    /// ```
    /// use tables::Kind;
    /// let listing = |revision| platform::Listing { revision, ..Default::default() };
    /// let update = platform::Update::of_listings(vec![(Kind::Route, listing(9)), (Kind::Pool, listing(7))]);
    /// assert!(matches!(update, platform::Update::Listing { revision: 7, .. }));
    /// ```
    pub fn of_listings(listings: Vec<(Kind, Listing)>) -> Update {
        let revision = listings.iter().map(|(_, listing)| listing.revision).min().unwrap_or(0);
        let mut rows = Vec::new();
        let mut malformed = Vec::new();
        for (kind, listing) in listings {
            for object in listing.objects {
                let key = Key { kind, name: object.name };
                match row(kind, object.version, Some(object.value)) {
                    Some(row) => rows.push((key, row)),
                    None => malformed.push(key),
                }
            }
        }
        Update::Listing { revision, rows, malformed }
    }

    /// Turns the changes since a revision into an update.
    ///
    /// ```
    /// let update = platform::Update::of_changes(3, Default::default());
    /// assert!(matches!(update, platform::Update::Delta { .. }));
    /// ```
    pub fn of_changes(since: u64, changes: Changes) -> Update {
        let revision = changes.revision;
        let mut rows = Vec::new();
        let mut malformed = Vec::new();
        for Change { kind, name, version, value } in changes.changes {
            let Some(kind) = Kind::parse(&kind) else { continue };
            let key = Key { kind, name };
            match row(kind, version, value) {
                Some(row) => rows.push((key, row)),
                None => malformed.push(key),
            }
        }
        Update::Delta { delta: Delta { since, revision, rows }, malformed }
    }

    /// Takes the update into a table. Returns whether anything changed.
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
                // A row that can't be decoded is there: it must not count as deleted.
                let kept = malformed.into_iter().filter_map(|key| known(table, key));
                rows.extend(kept.collect::<Vec<_>>());
                table.replace(revision, rows)
            }
            Update::Delta { delta, .. } => table.merge(delta),
            Update::Hosts { .. } | Update::Stale | Update::Fresh => false,
        }
    }
}

/// The names of all kinds of rows, as a watch asks for them.
pub(crate) fn kinds() -> Vec<&'static str> {
    Kind::ALL.into_iter().map(Kind::as_str).collect()
}

fn row(kind: Kind, version: u64, value: Option<Value>) -> Option<Row> {
    let Some(value) = value else { return Some(Row { version, body: None }) };
    let body = Body::from_value(kind, value).ok()?;
    Some(Row { version, body: Some(body) })
}

fn known(table: &Table, key: Key) -> Option<(Key, Row)> {
    let row = table.row(&key)?.clone();
    Some((key, row))
}

/// Names of the rows that can't be decoded, for a log line.
pub(crate) fn names(keys: &[Key]) -> Vec<Name> {
    keys.iter().map(|key| key.name.clone()).collect()
}
