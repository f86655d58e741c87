//! Messages between the agents of a rank group, and orders to their engines.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The number of a rank within its group, from 0.
pub type Rank = u16;

/// A fencing number. The platform issues `number`; the leader that holds it
/// increments `round`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// The number issued through a conditional update of the platform's object.
    pub number: u32,
    /// How often the leader has restarted the sealing of all ranks.
    pub round: u32,
}

impl Fence {
    /// Packs the fencing number into one integer of the same order, the form that
    /// engines take.
    ///
    /// ```
    /// let fence = group::Fence { number: 1, round: 2 };
    /// assert_eq!(fence.to_u64(), (1 << 32) + 2);
    /// ```
    pub fn to_u64(self) -> u64 {
        u64::from(self.number) << 32 | u64::from(self.round)
    }
}

/// A session of a rank. It ends when the rank's agent or engine restarts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Session {
    /// The agent's incarnation, which increases with each start.
    pub agent: u64,
    /// The engine's incarnation, which increases with each start.
    pub engine: u64,
}

/// Steps `from..to`, all run under one expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Block {
    /// The first step.
    pub from: u64,
    /// The end, exclusive.
    pub to: u64,
    /// The version of the expert map.
    pub map: u64,
}

/// An expert map. A version is never reused for other content.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Map {
    /// The version, unique within the group.
    pub version: u64,
    /// The content, in the form that the engines take.
    pub content: Bytes,
}

/// A message between the agents of one rank group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The rank whose agent sends the message.
    pub from: Rank,
    /// The leader's fencing number, or the highest one known to the member.
    pub fence: Fence,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// From the leader: refuse lower fencing numbers from now on and reply with
    /// [`Body::Sealed`].
    Seal,
    /// From the leader: it is alive.
    Heartbeat,
    /// From the leader: load an expert map alongside the current one.
    Prepare {
        /// The session of the rank that the message is for.
        session: Session,
        /// The expert map.
        map: Map,
    },
    /// From the leader: run a block of steps.
    Grant {
        /// The session of the rank that the message is for.
        session: Session,
        /// The block.
        block: Block,
    },
    /// From the leader: it has stepped down; the receiver starts an election at
    /// once.
    Resign,
    /// From a member: this session of the rank is not sealed.
    Hello {
        /// The session of the rank.
        session: Session,
    },
    /// From a member: it is sealed, with its execution state.
    Sealed {
        /// The session of the rank.
        session: Session,
        /// The furthest block granted in this session.
        furthest: Option<Block>,
        /// Versions of the expert maps loaded on the engine.
        prepared: Vec<u64>,
    },
    /// From a member: the engine has loaded the expert map.
    Prepared {
        /// The session of the rank.
        session: Session,
        /// The version of the expert map.
        version: u64,
    },
    /// From a member: progress of the rank.
    Progress {
        /// The session of the rank.
        session: Session,
        /// End of the furthest block granted to the rank, exclusive.
        to: u64,
        /// The next step that the engine runs.
        done: u64,
    },
    /// From a member: the message had an outdated fencing number.
    Refused,
}

/// An order to the engine. Orders are sent one at a time, in the order issued.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Load an expert map alongside the current one; idempotent.
    Prepare {
        /// The fencing number.
        fence: Fence,
        /// The expert map.
        map: Map,
    },
    /// Run a block of steps. The engine stops waiting for steps granted under
    /// lower fencing numbers.
    Run {
        /// The fencing number.
        fence: Fence,
        /// The steps and their expert map.
        block: Block,
    },
}
