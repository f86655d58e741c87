//! A versioned table that merges with others and never steps back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::row::Content;
use crate::{Account, Body, Key, Kind, Name, Pool, Route, Row, Suspect};

/// Rows changed since a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta<K = Key, B = Body> {
    /// The revision after which the rows changed.
    pub since: u64,
    /// The revision that a table which held `since` holds afterwards.
    pub revision: u64,
    /// The changed rows, deleted ones included.
    pub rows: Vec<(K, Row<B>)>,
}

/// All rows that a process knows, up to a revision.
///
/// A row's version only rises, and so does the revision: a late, repeated or
/// reordered delta changes nothing that is newer.
///
/// ```
/// use tables::{Body, Delta, Key, Kind, Row, Table, Zone};
///
/// let key = Key { kind: Kind::Zone, name: "accra-1".into() };
/// let row = |version, out| Row { version, body: Some(Body::Zone(Zone { out })) };
/// let mut table = Table::default();
/// table.merge(Delta { since: 0, revision: 8, rows: vec![(key.clone(), row(8, true))] });
/// table.merge(Delta { since: 0, revision: 5, rows: vec![(key, row(5, false))] });
/// assert!(table.is_zone_out("accra-1"));
/// assert_eq!(table.revision(), 8);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "K: Serialize, B: Serialize",
    deserialize = "K: Ord + Deserialize<'de>, B: Deserialize<'de>"
))]
pub struct Table<K = Key, B = Body> {
    revision: u64,
    rows: BTreeMap<K, Row<B>>,
}

impl<K, B> Default for Table<K, B> {
    fn default() -> Table<K, B> {
        Table { revision: 0, rows: BTreeMap::new() }
    }
}

impl<K: Clone + Ord, B: Clone> Table<K, B> {
    /// The platform's revision up to which the table is complete.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The row of `key`, deleted or not.
    pub fn row(&self, key: &K) -> Option<&Row<B>> {
        self.rows.get(key)
    }

    /// Takes in newer rows. Returns whether anything changed.
    ///
    /// A delta that starts beyond this table's revision is refused, since the
    /// rows between are missing.
    pub fn merge(&mut self, delta: Delta<K, B>) -> bool {
        if delta.since > self.revision {
            return false;
        }
        let mut changed = false;
        for (key, row) in delta.rows {
            let newer = self.rows.get(&key).is_none_or(|known| known.version < row.version);
            if newer {
                self.rows.insert(key, row);
                changed = true;
            }
        }
        if delta.revision > self.revision {
            self.revision = delta.revision;
            changed = true;
        }
        changed
    }

    /// Takes in a complete listing at `revision`: a live row that is missing
    /// there and not newer has been deleted.
    pub fn replace(&mut self, revision: u64, rows: Vec<(K, Row<B>)>) -> bool {
        let listed: std::collections::BTreeSet<K> =
            rows.iter().map(|(key, _)| key.clone()).collect();
        let mut delta = Delta { since: 0, revision, rows };
        for (key, row) in &self.rows {
            let gone = row.body.is_some() && row.version < revision && !listed.contains(key);
            if gone {
                delta.rows.push((key.clone(), Row { version: revision, body: None }));
            }
        }
        self.merge(delta)
    }

    /// The rows changed after revision `since`.
    pub fn delta(&self, since: u64) -> Delta<K, B> {
        let newer = |(key, row): (&K, &Row<B>)| (key.clone(), row.clone());
        let rows = self.rows.iter().filter(|(_, row)| row.version > since).map(newer).collect();
        Delta { since, revision: self.revision, rows }
    }

    /// The rows that are not deleted.
    pub fn live(&self) -> impl Iterator<Item = (&K, &B)> {
        self.rows.iter().filter_map(|(key, row)| Some((key, row.body.as_ref()?)))
    }
}

impl Table {
    /// Whether operators took the availability zone out.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        matches!(self.body(Kind::Zone, zone), Some(Body::Zone(zone)) if zone.out)
    }

    /// Whether operators took the backend server out.
    pub fn is_server_out(&self, server: &str) -> bool {
        matches!(self.body(Kind::Server, server), Some(Body::Server(server)) if server.out)
    }

    /// The pool of this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        match self.body(Kind::Pool, name) {
            Some(Body::Pool(pool)) => Some(pool),
            _ => None,
        }
    }

    /// The routes with their names.
    pub fn routes(&self) -> impl Iterator<Item = (&Name, &Route)> {
        self.live().filter_map(|(key, body)| match body {
            Body::Route(route) => Some((&key.name, route)),
            _ => None,
        })
    }

    /// The client accounts with their names.
    pub fn accounts(&self) -> impl Iterator<Item = (&Name, &Account)> {
        self.live().filter_map(|(key, body)| match body {
            Body::Account(account) => Some((&key.name, account)),
            _ => None,
        })
    }

    /// The requests that crashed backend servers, with their fingerprints in
    /// hexadecimal.
    pub fn suspects(&self) -> impl Iterator<Item = (&Name, &Suspect)> {
        self.live().filter_map(|(key, body)| match body {
            Body::Suspect(suspect) => Some((&key.name, suspect)),
            _ => None,
        })
    }

    /// The content of all rows that are not deleted.
    pub fn content(&self) -> Content {
        self.live().map(|(key, body)| (key.clone(), body.clone())).collect()
    }

    fn body(&self, kind: Kind, name: &str) -> Option<&Body> {
        self.rows.get(&Key { kind, name: name.into() })?.body.as_ref()
    }
}
