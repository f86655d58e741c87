//! Faults that the checks find.

use crate::{Key, Kind, Name};

/// One fault in a set of tables.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A route names a pool that does not exist.
    #[error("route {route}: pool {pool} does not exist")]
    UnknownPool {
        /// The route at fault.
        route: Name,
        /// The pool it names.
        pool: Name,
    },
    /// A route names no pool at all.
    #[error("route {route}: names no pool")]
    NoPool {
        /// The route at fault.
        route: Name,
    },
    /// Two routes take the same requests.
    #[error("routes {first} and {second}: same path and model")]
    SameMatch {
        /// The first of both routes, by name.
        first: Name,
        /// The second of both routes.
        second: Name,
    },
    /// A number lies outside its range.
    #[error("{} {}: {field} must be {range}", key.kind.as_str(), key.name)]
    Range {
        /// The row at fault.
        key: Key,
        /// The field at fault.
        field: &'static str,
        /// The range that the field may take.
        range: &'static str,
    },
    /// A name is empty, too long or holds other than letters, digits, `-`, `_`, `.`.
    #[error("{} {name}: not a valid name", kind.as_str())]
    Name {
        /// The kind of the row.
        kind: Kind,
        /// The name at fault.
        name: Name,
    },
    /// A value is larger than the platform holds.
    #[error("{} {}: {size} bytes, more than {limit}", key.kind.as_str(), key.name)]
    Size {
        /// The row at fault.
        key: Key,
        /// Size of the value in bytes.
        size: usize,
        /// Largest size in bytes.
        limit: usize,
    },
    /// The key of an account is not a SHA-256 in hexadecimal.
    #[error("account {account}: key_sha256 is not 64 hexadecimal digits")]
    KeyHash {
        /// The account at fault.
        account: Name,
    },
    /// A route names a pool more than once.
    #[error("route {route}: names pool {pool} more than once")]
    SamePool {
        /// The route at fault.
        route: Name,
        /// The pool it names.
        pool: Name,
    },
    /// A route names a pool whose backend servers can't serve it.
    #[error("route {route}: pool {pool} is of another kind than the route needs")]
    PoolKind {
        /// The route at fault.
        route: Name,
        /// The pool it names.
        pool: Name,
    },
    /// Two accounts have the same bearer key.
    #[error("accounts {first} and {second}: same bearer key")]
    SameKey {
        /// The first of both accounts, by name.
        first: Name,
        /// The second of both accounts.
        second: Name,
    },
}

impl Fault {
    /// The row at fault; the second of two that clash.
    ///
    /// ```
    /// let fault = tables::Fault::NoPool { route: "fit".into() };
    /// assert_eq!(fault.key().name, "fit");
    /// ```
    pub fn key(&self) -> Key {
        let key = |kind, name: &Name| Key { kind, name: name.clone() };
        match self {
            Fault::UnknownPool { route, .. }
            | Fault::NoPool { route }
            | Fault::SamePool { route, .. }
            | Fault::PoolKind { route, .. } => key(Kind::Route, route),
            Fault::SameMatch { second, .. } => key(Kind::Route, second),
            Fault::KeyHash { account } => key(Kind::Account, account),
            Fault::SameKey { second, .. } => key(Kind::Account, second),
            Fault::Range { key, .. } | Fault::Size { key, .. } => key.clone(),
            Fault::Name { kind, name } => key(*kind, name),
        }
    }

    /// The field at fault, if it is one field of the row.
    ///
    /// ```
    /// let fault = tables::Fault::NoPool { route: "fit".into() };
    /// assert_eq!(fault.field(), Some("pools"));
    /// ```
    pub fn field(&self) -> Option<&'static str> {
        match self {
            Fault::UnknownPool { .. }
            | Fault::NoPool { .. }
            | Fault::SamePool { .. }
            | Fault::PoolKind { .. } => Some("pools"),
            Fault::SameMatch { .. } => Some("path"),
            Fault::KeyHash { .. } | Fault::SameKey { .. } => Some("key_sha256"),
            Fault::Range { field, .. } => Some(field),
            Fault::Size { .. } | Fault::Name { .. } => None,
        }
    }
}

/// All faults of a set of tables.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{} faults in the tables", faults.len())]
pub struct Error {
    /// The faults, at least one.
    pub faults: Vec<Fault>,
}
