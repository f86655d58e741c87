//! Matches bearer keys to client accounts and requests to routes.

use std::collections::HashMap;

use sha2::{Digest, Sha256};
use tables::{Account, Name, Route, Table};

/// The table's accounts and routes, indexed for lookups by request.
#[derive(Clone, Debug, Default)]
pub struct Index {
    accounts: HashMap<Name, (Name, Account)>,
    routes: Vec<(Name, Route)>,
}

impl Index {
    /// Builds the index of a table.
    ///
    /// ```
    /// let index = routing::matching::Index::new(&tables::Table::default());
    /// assert!(index.account("secret").is_none());
    /// ```
    pub fn new(table: &Table) -> Index {
        let by_key = |(name, account): (&Name, &Account)| {
            (account.key_sha256.clone(), (name.clone(), account.clone()))
        };
        let accounts = table.accounts().map(by_key).collect();
        let mut routes: Vec<(Name, Route)> =
            table.routes().map(|(name, route)| (name.clone(), route.clone())).collect();
        // Longest path first; of equal paths, those that name a model first.
        routes.sort_by_key(|(name, route)| {
            (std::cmp::Reverse(route.path.len()), route.model.is_none(), name.clone())
        });
        Index { accounts, routes }
    }

    /// The client account with this bearer key.
    pub fn account(&self, bearer: &str) -> Option<&(Name, Account)> {
        let hash = format!("{:x}", Sha256::digest(bearer.as_bytes()));
        self.accounts.get(hash.as_str())
    }

    /// The most specific route that matches a request, with its name.
    pub fn route(&self, path: &str, model: Option<&str>) -> Option<&(Name, Route)> {
        let path = path.split('?').next().unwrap_or(path);
        self.routes.iter().find(|(_, route)| {
            let model_matches = route.model.is_none() || route.model.as_deref() == model;
            is_path_prefix(&route.path, path) && model_matches
        })
    }
}

/// Whether `path` starts with `prefix`, which must end at a segment boundary.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
