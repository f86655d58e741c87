//! Objects of the platform's store, decoded.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tables::Name;

use crate::config::Config;

/// A kind of object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The operators' configuration.
    Config,
    /// Backend servers; each writes its own object.
    Server,
    /// Availability zones that operators took out of service.
    Zone,
    /// Entries of this system; each writes its own object.
    Peer,
    /// Agents of ranks; each writes its own object.
    Agent,
}

impl Kind {
    /// The kinds that entries watch and exchange with each other.
    pub const ALL: [Kind; 3] = [Kind::Config, Kind::Server, Kind::Zone];
}

/// The content of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Content {
    /// The operators' configuration.
    Config(Box<Config>),
    /// A backend server.
    Server(Server),
    /// The availability zone of this name is out of service.
    ZoneOut,
    /// An entry of this system.
    Peer(Peer),
    /// The agent of a rank.
    Agent(Agent),
    /// Content that could not be decoded; ignored.
    Unreadable,
}

/// A backend server's description of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Pool that it belongs to.
    pub pool: Name,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub draining: bool,
    /// Remaining time for which it is cold, as of the object's revision.
    pub cold: Duration,
    /// Unix time of its start, in milliseconds.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Rank group that it belongs to.
    pub group: Option<Group>,
}

/// A backend server's membership in a rank group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Name of the group.
    pub name: Name,
    /// Increases each time the group forms.
    pub epoch: u64,
    /// Rank within the group, from 0.
    pub rank: u32,
    /// Number of ranks.
    pub size: u32,
    /// Whether all ranks are present and the group accepts requests.
    pub open: bool,
}

/// An entry of this system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Address at which it receives frames, `tcp://IP:PORT`.
    pub link: Name,
    /// Availability zone.
    pub zone: Name,
}

/// The agent of a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agent {
    /// Address at which it receives frames, `tcp://IP:PORT`.
    pub link: Name,
    /// Address of its rank.
    pub address: SocketAddr,
    /// Rank group.
    pub group: Name,
}
