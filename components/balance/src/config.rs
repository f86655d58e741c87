//! The operators' configuration, versioned as a whole: routes, pools, client
//! accounts and limits for callers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tables::Name;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version set by the operators; increases with each change.
    pub version: u64,
    /// Routes in the order of the configuration.
    pub routes: Vec<Route>,
    /// Pools by name.
    pub pools: BTreeMap<Name, Pool>,
    /// Client accounts by bearer key; `None` if callers need no key. An empty map accepts
    /// none, so that only public routes are served.
    pub keys: Option<BTreeMap<Name, Account>>,
    /// Limits for requests of callers.
    pub limits: Limits,
}

/// A route from callers to pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: Name,
    /// Value of the `Host` header, in lower case.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// Pools with their traffic weights.
    pub pools: Vec<(Name, u32)>,
    /// Which requests may be retried after they may have run.
    pub kind: Kind,
    /// Maximum time for a response.
    pub timeout: Duration,
    /// Latency objective for the response, or for the first event of a stream.
    pub objective: Duration,
    /// Latency objective for the gap between two events of a stream.
    pub gap: Option<Duration>,
    /// Maximum number of attempts per request, each at another backend server.
    pub attempts: u32,
    /// Priority among routes; 0 is the highest.
    pub priority: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// Which requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Requests may be executed any number of times.
    Idempotent,
    /// Requests are executed at most once.
    Once,
    /// Responses are event streams.
    Stream {
        /// Whether another backend server may resume after the last event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request that may have run may be retried.
    ///
    /// ```
    /// assert!(balance::config::Kind::Idempotent.is_repeatable());
    /// assert!(!balance::config::Kind::Stream { resumable: false }.is_repeatable());
    /// ```
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }

    /// Whether responses are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A pool of backend servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Requests per second that a cold backend server tolerates; 0 for no limit.
    pub cold_rate: f64,
    /// Cost model, if the pool consists of model engines.
    pub engine: Option<Engine>,
}

/// Cost model of a model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum number of requests decoded at the same time.
    pub slots: u32,
    /// KV cache for running requests, in tokens.
    pub memory: u64,
    /// Prefill rate, in prompt tokens per second.
    pub read_rate: f64,
    /// Base duration of a token step, without requests.
    pub step: Duration,
    /// Time that each decoding request adds to a token step.
    pub step_per_request: Duration,
    /// Token steps per pass.
    pub stride: u32,
    /// Typical number of output tokens.
    #[serde(rename = "usual_output")]
    pub typical_output_tokens: u32,
    /// Time until a rank group reopens after the return of its last rank.
    #[serde(rename = "form")]
    pub reopen_delay: Duration,
    /// Expert placement limits, if the engines are ranks of groups.
    pub experts: Option<Experts>,
}

/// Limits for the placement of experts on the ranks of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Experts {
    /// Number of layer sets.
    pub sets: u32,
    /// Experts per layer set.
    pub count: u32,
    /// Maximum number of experts of a layer set on one rank.
    pub places: u32,
    /// Maximum number of experts of a layer set copied to a rank by one change.
    pub fresh: u32,
    /// Time to copy one expert to a rank; `None` if unknown.
    pub copy: Option<Duration>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Name that backend servers receive.
    pub name: Name,
    /// Priority among accounts; 0 is the highest.
    pub priority: u32,
}

/// Limits for requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Time from the first byte of a request head to its last.
    pub head_time: Duration,
    /// Time without a request after which a connection is closed.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Generous limits, for callers whose limits are not known.
    fn default() -> Limits {
        Limits {
            body: 4 << 20,
            head: 64 << 10,
            head_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(75),
        }
    }
}

/// Why a request could not be matched to a route and a client account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unmatched {
    /// No route matches the host and path.
    #[error("no route takes this host and path")]
    Route,
    /// The bearer key is missing or unknown.
    #[error("the bearer key is missing or unknown")]
    Key,
}

impl Config {
    /// Returns the route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let matches_request = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.prefix.as_str())
        };
        self.routes.iter().filter(matches_request).max_by_key(|route| route.prefix.len())
    }

    /// Returns the route of a request and the client account of its key. The
    /// account may be missing if the route is public or the configuration has no client
    /// accounts.
    ///
    /// # Errors
    ///
    /// [`Unmatched::Route`] if no route matches, [`Unmatched::Key`] if a key is
    /// required and none matches.
    ///
    /// ```
    /// use balance::config::{Config, Unmatched};
    /// let config = Config::default();
    /// let resolved = config.resolve("shop.example", "/", None);
    /// assert_eq!(resolved.unwrap_err(), Unmatched::Route);
    /// ```
    pub fn resolve(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Route, Option<&Account>), Unmatched> {
        let route = self.route(host, path).ok_or(Unmatched::Route)?;
        let Some(keys) = &self.keys else { return Ok((route, None)) };
        match key.and_then(|key| keys.get(key)) {
            None if !route.public => Err(Unmatched::Key),
            account => Ok((route, account)),
        }
    }
}
