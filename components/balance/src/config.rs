//! The operators' configuration as one versioned whole: routes, pools, client
//! accounts and the limits of callers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tables::Name;

/// A configuration that operators wrote.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The operators' version; rises with each change.
    pub version: u64,
    /// Routes in the order in which they were written.
    pub routes: Vec<Route>,
    /// Pools by name.
    pub pools: BTreeMap<Name, Pool>,
    /// Accounts by bearer key. Empty if callers need no key.
    pub keys: BTreeMap<Name, Account>,
    /// What callers may send.
    pub limits: Limits,
}

/// A route from callers to pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Name,
    /// Value of the `Host` header, in lower case.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// Pools with their shares of the traffic.
    pub pools: Vec<(Name, u32)>,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time for an answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub objective: Duration,
    /// Longest pause between two events for which a stream is on time.
    pub gap: Option<Duration>,
    /// Most backend servers to which one request may be sent.
    pub attempts: u32,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// What a route allows to be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Requests may run any number of times.
    Idempotent,
    /// Requests run at most once.
    Once,
    /// Answers are event streams.
    Stream {
        /// Whether another backend server may go on after the last event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run may be sent once more.
    ///
    /// ```
    /// assert!(balance::config::Kind::Idempotent.is_repeatable());
    /// assert!(!balance::config::Kind::Stream { resumable: false }.is_repeatable());
    /// ```
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }

    /// Whether answers are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A pool of backend servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Requests a second that a cold backend server tolerates; 0 for no bound.
    pub cold_rate: f64,
    /// Cost of work on the model engines, if the pool holds any.
    pub engine: Option<Engine>,
}

/// What work costs on a model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that write at the same time.
    pub slots: u32,
    /// Memory for the context of running requests, in tokens.
    pub memory: u64,
    /// Prompt tokens read in a second.
    pub read_rate: f64,
    /// Duration of a token step without work.
    pub step: Duration,
    /// Time that each writing request adds to a token step.
    pub step_per_request: Duration,
    /// Token steps in a pass.
    pub stride: u32,
    /// Usual number of output tokens.
    #[serde(rename = "usual_output")]
    pub typical_output_tokens: u32,
    /// Time after which a broken rank group opens again once whole.
    #[serde(rename = "form")]
    pub reopen_delay: Duration,
    /// How experts are spread, if the engines are ranks of groups.
    pub experts: Option<Experts>,
}

/// How experts are spread over the ranks of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Experts {
    /// Sets of layers.
    pub sets: u32,
    /// Experts of a set.
    pub count: u32,
    /// Most experts of a set that a rank holds.
    pub places: u32,
    /// Most experts of a set that a change brings to a rank.
    pub fresh: u32,
    /// Time in which a rank copies one expert; nothing if it isn't known.
    pub copy: Option<Duration>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Name, as backend servers see it.
    pub name: Name,
    /// Rank among accounts; 0 is the most urgent.
    pub priority: u32,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub body: usize,
}

/// Why no route and account were found for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unmatched {
    /// No route takes the host and path.
    #[error("no route takes this host and path")]
    Route,
    /// The bearer key is missing or unknown.
    #[error("the bearer key is missing or unknown")]
    Key,
}

impl Config {
    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let fits = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.prefix.as_str())
        };
        self.routes.iter().filter(fits).max_by_key(|route| route.prefix.len())
    }

    /// The route and, unless the route is public, the account of a request.
    ///
    /// # Errors
    ///
    /// [`Unmatched`] says which of the two was not found.
    pub fn resolve(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Route, Option<&Account>), Unmatched> {
        let route = self.route(host, path).ok_or(Unmatched::Route)?;
        let account = key.and_then(|key| self.keys.get(key));
        if account.is_none() && !route.public && !self.keys.is_empty() {
            return Err(Unmatched::Key);
        }
        Ok((route, account))
    }
}
