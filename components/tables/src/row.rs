//! The kinds of rows and their fields.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::Name;

/// What a row describes. The text form is the kind's name in the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A named route from callers to pools.
    Route,
    /// A named pool of backend servers.
    Pool,
    /// An availability zone and whether operators took it out.
    Zone,
    /// A backend server and whether operators took it out.
    Server,
    /// A client account.
    Account,
    /// A request that crashed backend servers, written by agents. The name is
    /// the request's fingerprint, sixteen hexadecimal digits.
    Suspect,
}

impl Kind {
    /// All kinds, in the order in which they are listed.
    pub const ALL: [Kind; 6] =
        [Kind::Route, Kind::Pool, Kind::Zone, Kind::Server, Kind::Account, Kind::Suspect];

    /// The kind's name in the platform.
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

    /// Reads a kind from its name in the platform.
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
    /// The content, or nothing once the row is deleted.
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
    /// Evidence against a request.
    Suspect(Suspect),
}

/// A route: which requests it takes and the pools that serve them.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix of the requests that the route takes; the longest wins.
    pub path: Name,
    /// For model routes: the model that the request's body must name.
    #[serde(default)]
    pub model: Option<Name>,
    /// Names of the pools, in order of preference. At least one.
    pub pools: Vec<Name>,
    /// Whether a request may be run more than once without harm.
    pub idempotent: bool,
    /// Longest time for a whole answer, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
}

/// What kind of backend server a pool holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// Model engines that stream chat completions.
    Model,
    /// Plain HTTP services.
    Service,
}

/// A pool: backend servers that can stand in for one another.
///
/// Its members are the hosts whose label `pool` in the platform's host list
/// is the pool's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What the backend servers are.
    pub kind: PoolKind,
    /// Whether the engines refuse an order with an old fencing number.
    #[serde(default)]
    pub fenced: bool,
    /// Most requests that a warm backend server of the pool runs at once.
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
    /// Share of a busy pool relative to other accounts. At least 1.
    pub weight: u32,
}

/// Evidence against a request that was running when backend servers crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Suspect {
    /// Crashes of backend servers that ran it.
    pub crashes: u32,
    /// The agent that runs it alone, as `NAME/INCARNATION`.
    #[serde(default)]
    pub trial: Option<Name>,
    /// Whether it crashed a backend server alone: it never runs again.
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

    /// Reads the content of a row of `kind` from its JSON value.
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

    /// The JSON value of the content, as the platform keeps it.
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

/// Content by row, the form in which checks see a whole set of tables.
pub type Content = BTreeMap<Key, Body>;
