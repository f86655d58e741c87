//! A versioned table with monotonic merges.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::row::Content;
use crate::{Account, Body, Key, Kind, Name, Pool, Route, Row, Suspect};

/// Rows changed since a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta<K = Key, B = Body> {
    /// The revision that the delta starts from.
    pub since: u64,
    /// The revision of a table at `since` after the delta is merged.
    pub revision: u64,
    /// The changed rows, including deleted ones.
    pub rows: Vec<(K, Row<B>)>,
}

/// A local copy of all rows up to a revision.
///
/// The revision and the version of each row never decrease: a delayed, repeated
/// or reordered delta does not overwrite newer rows.
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

    /// The row of `key`, including a deleted one.
    pub fn row(&self, key: &K) -> Option<&Row<B>> {
        self.rows.get(key)
    }

    /// Merges the delta's newer rows. Returns whether anything changed.
    ///
    /// A delta that starts after this table's revision is rejected, since the
    /// changes in between are missing.
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

    /// Merges a complete listing at `revision`. A live row that is older than
    /// `revision` and not in the listing is marked as deleted. Returns whether
    /// anything changed.
    pub fn replace(&mut self, revision: u64, rows: Vec<(K, Row<B>)>) -> bool {
        let listed: std::collections::BTreeSet<K> =
            rows.iter().map(|(key, _)| key.clone()).collect();
        let mut delta = Delta { since: 0, revision, rows };
        for (key, row) in &self.rows {
            let deleted = row.body.is_some() && row.version < revision && !listed.contains(key);
            if deleted {
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
    /// Whether operators took the availability zone out of service.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        matches!(self.body(Kind::Zone, zone), Some(Body::Zone(zone)) if zone.out)
    }

    /// Whether operators took the backend server out of service.
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

    /// The crash records of requests, with the requests' fingerprints in
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
