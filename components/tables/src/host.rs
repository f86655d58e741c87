//! Hosts of the platform's host list.

use serde::{Deserialize, Serialize};

use crate::Name;

/// The role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry host.
    Entry,
    /// A backend server with its agent.
    Server,
}

/// The lifecycle state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host is in use.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// A host of the platform's host list. The list lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Host {
    /// The name of the host and of its backend server.
    pub name: Name,
    /// The role.
    pub role: Role,
    /// The availability zone.
    pub zone: Name,
    /// The address on which it receives frames, `tcp://IP:PORT`.
    pub link: Name,
    /// The pool of its backend server; `None` on entry hosts.
    pub pool: Option<Name>,
    /// The lifecycle state.
    pub state: State,
}
