//! Row types and their fields.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::Name;

/// The kind of a row. Its text form is the kind's name on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A route from callers to pools.
    Route,
    /// A pool of backend servers.
    Pool,
    /// An availability zone, which operators can take out of service.
    Zone,
    /// A backend server, which operators can take out of service.
    Server,
    /// A client account.
    Account,
    /// A request that was running when backend servers crashed, written by agents.
    /// The name is the request's fingerprint in 16 hexadecimal digits.
    Suspect,
}

impl Kind {
    /// All kinds, in listing order.
    pub const ALL: [Kind; 6] =
        [Kind::Route, Kind::Pool, Kind::Zone, Kind::Server, Kind::Account, Kind::Suspect];

    /// The kind's name on the platform.
    ///
    /// ```
    /// assert_eq!(tables::Kind::Route.as_str(), "route");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Route => "route",
            Kind::Pool => "pool",
            Kind::Zone => "zone",
            Kind::Server => "server",
            Kind::Account => "account",
            Kind::Suspect => "suspect",
        }
    }

    /// Parses the kind's name on the platform.
    ///
    /// ```
    /// assert_eq!(tables::Kind::parse("pool"), Some(tables::Kind::Pool));
    /// assert_eq!(tables::Kind::parse("claim"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

/// The identity of a row: its kind and its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The kind of the row.
    pub kind: Kind,
    /// The name, unique within the kind.
    pub name: Name,
}

/// A row with the version of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row<B = Body> {
    /// The platform's revision at the last change of this row.
    pub version: u64,
    /// The content; `None` if the row is deleted.
    pub body: Option<B>,
}

/// The content of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Content of a route.
    Route(Route),
    /// Content of a pool.
    Pool(Pool),
    /// Content of an availability zone.
    Zone(Zone),
    /// Content of a backend server.
    Server(Server),
    /// Content of a client account.
    Account(Account),
    /// Crash record of a request.
    Suspect(Suspect),
}

/// A route: the requests that it matches and the pools that serve them.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix of matching requests; the longest matching prefix wins.
    pub path: Name,
    /// For model routes, the model that the request's body must name.
    #[serde(default)]
    pub model: Option<Name>,
    /// Names of the pools, in order of preference. At least one.
    pub pools: Vec<Name>,
    /// Whether requests are idempotent and may be executed more than once.
    pub idempotent: bool,
    /// Timeout for the complete response, in milliseconds in JSON.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
}

/// The kind of a pool's backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// Model engines that stream chat completions.
    Model,
    /// Plain HTTP services.
    Service,
}

/// A pool of interchangeable backend servers.
///
/// Its members are the hosts whose label `pool` in the platform's host list
/// is the pool's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The kind of the backend servers.
    pub kind: PoolKind,
    /// Whether the engines reject orders with an outdated fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// Concurrency limit of a warm backend server of the pool, in requests.
    pub limit: u32,
    /// Number of partitions for claims of idempotency keys.
    #[serde(default = "default_partitions")]
    pub partitions: u32,
}

fn default_partitions() -> u32 {
    16
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Whether operators took the zone out of service.
    pub out: bool,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Whether operators took the backend server out of service.
    pub out: bool,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// SHA-256 of the bearer key, in lower-case hexadecimal.
    pub key_sha256: Name,
    /// Relative share of a saturated pool's capacity. At least 1.
    pub weight: u32,
}

/// Crash record of a request that was running when backend servers crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Suspect {
    /// Number of crashes of backend servers while they ran the request.
    pub crashes: u32,
    /// The agent that runs it in isolation as a trial, as `NAME/INCARNATION`.
    #[serde(default)]
    pub trial: Option<Name>,
    /// Whether a backend server crashed while it ran only this request. Such a
    /// request is never run again.
    #[serde(default)]
    pub condemned: bool,
}

impl Body {
    /// The kind of row that this content belongs to.
    pub fn kind(&self) -> Kind {
        match self {
            Body::Route(_) => Kind::Route,
            Body::Pool(_) => Kind::Pool,
            Body::Zone(_) => Kind::Zone,
            Body::Server(_) => Kind::Server,
            Body::Account(_) => Kind::Account,
            Body::Suspect(_) => Kind::Suspect,
        }
    }

    /// Parses the content of a row of `kind` from its JSON value.
    ///
    /// ```
    /// let value = serde_json::json!({"out": true});
    /// let body = tables::Body::from_value(tables::Kind::Zone, value).unwrap();
    /// assert_eq!(body, tables::Body::Zone(tables::Zone { out: true }));
    /// ```
    pub fn from_value(kind: Kind, value: serde_json::Value) -> Result<Body, serde_json::Error> {
        Ok(match kind {
            Kind::Route => Body::Route(serde_json::from_value(value)?),
            Kind::Pool => Body::Pool(serde_json::from_value(value)?),
            Kind::Zone => Body::Zone(serde_json::from_value(value)?),
            Kind::Server => Body::Server(serde_json::from_value(value)?),
            Kind::Account => Body::Account(serde_json::from_value(value)?),
            Kind::Suspect => Body::Suspect(serde_json::from_value(value)?),
        })
    }

    /// Returns the content as the JSON value that the platform stores.
    ///
    /// ```
    /// let body = tables::Body::Zone(tables::Zone { out: false });
    /// assert_eq!(body.to_value(), serde_json::json!({"out": false}));
    /// ```
    pub fn to_value(&self) -> serde_json::Value {
        let value = match self {
            Body::Route(route) => serde_json::to_value(route),
            Body::Pool(pool) => serde_json::to_value(pool),
            Body::Zone(zone) => serde_json::to_value(zone),
            Body::Server(server) => serde_json::to_value(server),
            Body::Account(account) => serde_json::to_value(account),
            Body::Suspect(suspect) => serde_json::to_value(suspect),
        };
        value.unwrap_or_default()
    }
}

/// Content of a whole set of tables by row key, the input of [`crate::check`].
pub type Content = BTreeMap<Key, Body>;
