//! Urgency of requests, from the priorities of their client accounts and routes.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::config::{Config, Route};

/// Urgency of a request. The lower value is more urgent, and the account's priority
/// goes before the route's.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Urgency {
    /// Priority of the client account.
    pub account: u32,
    /// Priority of the route.
    pub route: u32,
}

/// The urgencies that requests to a pool may have, the most urgent first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scale {
    levels: Vec<Urgency>,
    lowest_account: u32,
    is_graded: bool,
}

impl Scale {
    /// The urgencies of the requests that `config` sends to `pool`.
    ///
    /// ```
    /// use balance::{config::Config, urgency::Scale};
    /// assert!(!Scale::of(&Config::default(), "models").is_graded());
    /// ```
    pub fn of(config: &Config, pool: &str) -> Scale {
        let sends =
            |route: &&Route| route.pools.iter().any(|(name, weight)| *name == pool && *weight > 0);
        let routes: BTreeSet<u32> =
            config.routes.iter().filter(sends).map(|route| route.priority).collect();
        let mut accounts: BTreeSet<u32> =
            config.keys.iter().flatten().map(|(_, account)| account.priority).collect();
        if accounts.is_empty() {
            accounts.insert(0);
        }
        let of_account = |account: &u32| {
            let account = *account;
            routes.iter().map(move |route| Urgency { account, route: *route }).collect::<Vec<_>>()
        };
        Scale {
            levels: accounts.iter().flat_map(of_account).collect(),
            is_graded: routes.len() > 1,
            lowest_account: accounts.last().copied().unwrap_or_default(),
        }
    }

    /// Whether requests are treated by urgency: the routes to the pool have different
    /// priorities. Those of client accounts alone don't ask for it.
    pub fn is_graded(&self) -> bool {
        self.is_graded
    }

    /// The urgency of a request with these priorities of its account and its route. One
    /// without an account is as urgent as those of the least urgent account.
    pub fn urgency(&self, account: Option<u32>, route: u32) -> Urgency {
        Urgency { account: account.unwrap_or(self.lowest_account), route }
    }

    /// Number of levels that are more urgent.
    pub fn level(&self, urgency: Urgency) -> usize {
        self.levels.iter().take_while(|level| **level < urgency).count()
    }

    /// Place of a level between the most urgent (0) and the least urgent one (1).
    pub fn depth(&self, level: usize) -> f64 {
        let last = self.levels.len().saturating_sub(1).max(1);
        level.min(last) as f64 / last as f64
    }
}
