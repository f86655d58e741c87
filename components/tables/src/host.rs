//! Hosts, as the platform's host list tells of them.

use serde::{Deserialize, Serialize};

use crate::Name;

/// What runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry host.
    Entry,
    /// A backend server with its agent.
    Server,
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host is in use.
    Live,
    /// The host will soon be gone.
    Leaving,
}

/// A host of the platform's host list. The list lags behind reality.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Host {
    /// The name, also that of its backend server.
    pub name: Name,
    /// What runs there.
    pub role: Role,
    /// The availability zone.
    pub zone: Name,
    /// The address for frames, `tcp://IP:PORT`.
    pub link: Name,
    /// The pool of the backend server.
    pub pool: Option<Name>,
    /// Whether the host stays.
    pub state: State,
}
