//! Validation errors of the tables.

use crate::{Key, Kind, Name};

/// A validation error in a set of tables.
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
    NoPools {
        /// The route at fault.
        route: Name,
    },
    /// Two routes match the same requests.
    #[error("routes {first} and {second}: same path and model")]
    DuplicateMatch {
        /// The first route, by name.
        first: Name,
        /// The second route.
        second: Name,
    },
    /// The value of a field is outside of its range.
    #[error("{} {}: {field} must be {range}", key.kind.as_str(), key.name)]
    OutOfRange {
        /// The row at fault.
        key: Key,
        /// The field at fault.
        field: &'static str,
        /// Description of the valid range.
        range: &'static str,
    },
    /// A name is empty, too long or contains characters other than ASCII letters,
    /// digits, `-`, `_` and `.`.
    #[error("{} {name}: invalid name", kind.as_str())]
    InvalidName {
        /// The kind of the row.
        kind: Kind,
        /// The name at fault.
        name: Name,
    },
    /// A value exceeds the platform's size limit.
    #[error(
        "{} {}: value of {size} bytes exceeds the limit of {limit} bytes",
        key.kind.as_str(),
        key.name
    )]
    TooLarge {
        /// The row at fault.
        key: Key,
        /// Size of the value in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// An account's key hash is not a SHA-256 in lower-case hexadecimal.
    #[error("account {account}: key_sha256 is not 64 lower-case hexadecimal digits")]
    InvalidKeyHash {
        /// The account at fault.
        account: Name,
    },
    /// A route names a pool more than once.
    #[error("route {route}: names pool {pool} more than once")]
    DuplicatePool {
        /// The route at fault.
        route: Name,
        /// The pool it names.
        pool: Name,
    },
    /// A route names a pool of a kind that can't serve the route.
    #[error("route {route}: pool {pool} has a different kind than the route requires")]
    PoolKindMismatch {
        /// The route at fault.
        route: Name,
        /// The pool it names.
        pool: Name,
    },
    /// Two accounts have the same bearer key.
    #[error("accounts {first} and {second}: same bearer key")]
    DuplicateKey {
        /// The first account, by name.
        first: Name,
        /// The second account.
        second: Name,
    },
}

impl Fault {
    /// The row at fault; for a conflict of two rows, the second.
    ///
    /// ```
    /// let fault = tables::Fault::NoPools { route: "fit".into() };
    /// assert_eq!(fault.key().name, "fit");
    /// ```
    pub fn key(&self) -> Key {
        let key = |kind, name: &Name| Key { kind, name: name.clone() };
        match self {
            Fault::UnknownPool { route, .. }
            | Fault::NoPools { route }
            | Fault::DuplicatePool { route, .. }
            | Fault::PoolKindMismatch { route, .. } => key(Kind::Route, route),
            Fault::DuplicateMatch { second, .. } => key(Kind::Route, second),
            Fault::InvalidKeyHash { account } => key(Kind::Account, account),
            Fault::DuplicateKey { second, .. } => key(Kind::Account, second),
            Fault::OutOfRange { key, .. } | Fault::TooLarge { key, .. } => key.clone(),
            Fault::InvalidName { kind, name } => key(*kind, name),
        }
    }

    /// The field at fault; `None` if the fault concerns the whole row.
    ///
    /// ```
    /// let fault = tables::Fault::NoPools { route: "fit".into() };
    /// assert_eq!(fault.field(), Some("pools"));
    /// ```
    pub fn field(&self) -> Option<&'static str> {
        match self {
            Fault::UnknownPool { .. }
            | Fault::NoPools { .. }
            | Fault::DuplicatePool { .. }
            | Fault::PoolKindMismatch { .. } => Some("pools"),
            Fault::DuplicateMatch { .. } => Some("path"),
            Fault::InvalidKeyHash { .. } | Fault::DuplicateKey { .. } => Some("key_sha256"),
            Fault::OutOfRange { field, .. } => Some(field),
            Fault::TooLarge { .. } | Fault::InvalidName { .. } => None,
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
