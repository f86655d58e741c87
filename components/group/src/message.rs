//! What the agents of a rank group tell one another and their engines.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The number of a rank within its group, from 0.
pub type Rank = u16;

/// A fencing number: the platform issues `number`, its holder counts `round`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// The number that the platform issued by a conditional update.
    pub number: u32,
    /// How often the holder of the number has sealed the ranks again.
    pub round: u32,
}

impl Fence {
    /// The fencing number as engines take it: one integer that only rises.
    ///
    /// ```
    /// let fence = group::Fence { number: 1, round: 2 };
    /// assert_eq!(fence.to_u64(), (1 << 32) + 2);
    /// ```
    pub fn to_u64(self) -> u64 {
        u64::from(self.number) << 32 | u64::from(self.round)
    }
}

/// One life of a rank: it ends when its agent or its engine starts anew.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Session {
    /// The agent's incarnation; rises with each start.
    pub agent: u64,
    /// The engine's incarnation; rises with each start.
    pub engine: u64,
}

/// Steps `from..to`, all to be run under one expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Block {
    /// The first step.
    pub from: u64,
    /// The step after the last one.
    pub to: u64,
    /// The version of the expert map.
    pub map: u64,
}

/// An expert map: its version is never used for another content.
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
    /// The leader's fencing number, or the highest that the member knows.
    pub fence: Fence,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Leader: obey no lower fencing number from now on, and report.
    Seal,
    /// Leader: still there.
    Heartbeat,
    /// Leader: load an expert map beside the one in use.
    Prepare {
        /// The life of the rank that is meant.
        session: Session,
        /// The expert map.
        map: Map,
    },
    /// Leader: run a block of steps.
    Grant {
        /// The life of the rank that is meant.
        session: Session,
        /// The block.
        block: Block,
    },
    /// Leader: leads no longer; the receiver should stand at once.
    Resign,
    /// Member: this life of the rank is not sealed.
    Hello {
        /// The life of the rank.
        session: Session,
    },
    /// Member: sealed.
    Sealed {
        /// The life of the rank.
        session: Session,
        /// The furthest block granted in this life.
        furthest: Option<Block>,
        /// Versions of the expert maps that the engine holds.
        prepared: Vec<u64>,
    },
    /// Member: the engine holds the expert map.
    Prepared {
        /// The life of the rank.
        session: Session,
        /// The version of the expert map.
        version: u64,
    },
    /// Member: how far the rank is.
    Progress {
        /// The life of the rank.
        session: Session,
        /// End of the furthest block that the rank holds.
        to: u64,
        /// The next step that the engine runs.
        done: u64,
    },
    /// Member: the message came under an old fencing number.
    Refused,
}

/// An order to the engine. Orders go one after the other, as they were given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// Load an expert map beside the one in use; idempotent.
    Prepare {
        /// The fencing number.
        fence: Fence,
        /// The expert map.
        map: Map,
    },
    /// Run a block of steps. Waiting for steps of lower fencing numbers ends.
    Run {
        /// The fencing number.
        fence: Fence,
        /// The steps and their expert map.
        block: Block,
    },
}
