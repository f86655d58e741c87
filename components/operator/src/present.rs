//! The current rows and hosts, as read from the platform.

use std::collections::BTreeMap;

use platform::{Listing, Object};
use tables::{Body, Content, Host, Key, Kind, Name};

/// A snapshot of the tables and the host list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Present {
    /// The lowest revision of the listings: each table is at least this recent.
    pub revision: u64,
    /// All rows as raw objects, including rows that cannot be decoded.
    pub rows: BTreeMap<Key, Object>,
    /// The host list.
    pub hosts: Vec<Host>,
}

impl Present {
    /// Builds a snapshot from one listing per table and the host list.
    ///
    /// ```
    /// let present = operator::Present::new(vec![(tables::Kind::Zone, Default::default())], vec![]);
    /// assert!(present.rows.is_empty());
    /// ```
    pub fn new(listings: Vec<(Kind, Listing)>, hosts: Vec<Host>) -> Present {
        let revision = listings.iter().map(|(_, listing)| listing.revision).min().unwrap_or(0);
        let objects = |(kind, listing): (Kind, Listing)| {
            let keyed = move |object: Object| (Key { kind, name: object.name.clone() }, object);
            listing.objects.into_iter().map(keyed)
        };
        Present { revision, rows: listings.into_iter().flat_map(objects).collect(), hosts }
    }

    /// The decoded rows; rows that cannot be decoded are left out.
    ///
    /// ```
    /// assert!(operator::Present::default().content().is_empty());
    /// ```
    pub fn content(&self) -> Content {
        let decoded = |(key, object): (&Key, &Object)| {
            let body = Body::from_value(key.kind, object.value.clone()).ok()?;
            Some((key.clone(), body))
        };
        self.rows.iter().filter_map(decoded).collect()
    }

    /// The rows of one kind.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        self.rows.iter().filter(move |(key, _)| key.kind == kind).map(|(_, object)| object)
    }

    /// Whether the key names an existing row, or an availability zone or backend
    /// server in the host list.
    pub fn contains(&self, key: &Key) -> bool {
        let named = |host: &Host| match key.kind {
            Kind::Zone => host.zone == key.name,
            Kind::Server => host.name == key.name,
            _ => false,
        };
        self.rows.contains_key(key) || self.hosts.iter().any(named)
    }

    /// Names of all availability zones in the tables or in the host list.
    pub fn zones(&self) -> std::collections::BTreeSet<Name> {
        let rows = self.of_kind(Kind::Zone).map(|object| object.name.clone());
        rows.chain(self.hosts.iter().map(|host| host.zone.clone())).collect()
    }
}
