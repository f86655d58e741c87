//! What the platform's store holds, in the product's terms.

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
    /// Backend servers, written by themselves.
    Server,
    /// Availability zones that operators took out.
    Zone,
    /// Entries of this system, written by themselves.
    Peer,
    /// Agents beside ranks, written by themselves.
    Agent,
}

impl Kind {
    /// The kinds that entries follow and tell each other.
    pub const ALL: [Kind; 3] = [Kind::Config, Kind::Server, Kind::Zone];
}

/// The content of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Content {
    /// The operators' configuration.
    Config(Box<Config>),
    /// A backend server.
    Server(Server),
    /// The zone of this name is out.
    ZoneOut,
    /// An entry of this system.
    Peer(Peer),
    /// An agent beside a rank.
    Agent(Agent),
    /// Something that can't be read. It stands for nothing.
    Unreadable,
}

/// A backend server as it describes itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Pool that it belongs to.
    pub pool: Name,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Name,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it stays cold, as of the object's revision.
    pub cold: Duration,
    /// Unix time of its start, in milliseconds.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Rank group that it belongs to.
    pub group: Option<Group>,
}

/// A backend server's place in a rank group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Name of the group.
    pub name: Name,
    /// Rises each time the group forms.
    pub epoch: u64,
    /// Rank within the group, from 0.
    pub rank: u32,
    /// Number of ranks.
    pub size: u32,
    /// Whether all ranks are there and work runs.
    pub open: bool,
}

/// An entry of this system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Address at which it takes frames, `tcp://IP:PORT`.
    pub link: Name,
    /// Availability zone.
    pub zone: Name,
}

/// An agent beside a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agent {
    /// Address at which it takes frames, `tcp://IP:PORT`.
    pub link: Name,
    /// Address of its rank.
    pub address: SocketAddr,
    /// Rank group.
    pub group: Name,
}
