//! What entries tell each other: how far they know the store, how much they
//! sent to each backend server and which requests crashed some.

use serde::{Deserialize, Serialize};
use tables::{Name, Position};

use crate::content::Kind;
use crate::hold::Told;
use crate::notice::Start;
use crate::slow::Slowness;
use crate::view::Delta;

/// A message between entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sent at a steady pace and after each change.
    Heartbeat(Heartbeat),
    /// Send me what changed in a kind after a position.
    Pull(Kind, Position),
    /// What the receiver lacks, and the era of the store that it is of.
    Rows(Kind, u64, Delta),
    /// From the leader of a rank group to all entries.
    Slowness(Slowness),
}

/// An entry's state in short.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Position up to which each kind is known.
    pub positions: Vec<(Kind, Position)>,
    /// Version of the configuration in force; a restored store may have an
    /// older one.
    pub config: u64,
    /// What a restored store doesn't have any more.
    pub holds: Vec<Told>,
    /// Work that the entry has open at backend servers.
    pub load: Vec<(Name, Work)>,
    /// Requests that crashed backend servers, by fingerprint, with the number
    /// of crashes that this entry saw.
    pub crashes: Vec<(u64, u32)>,
    /// Backend servers that say that they leave.
    pub departing: Vec<Start>,
    /// Time since the store last answered the entry, in milliseconds; nothing
    /// if it never did.
    pub store_age_ms: Option<u32>,
    /// Whether the entry is leaving.
    pub leaving: bool,
}

/// Open work at a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Requests that are open.
    pub open: u32,
    /// Prompt tokens of requests whose first event has not come.
    pub tokens: u32,
}

impl Work {
    /// The sum of two.
    ///
    /// ```
    /// use balance::gossip::Work;
    /// let one = Work { open: 1, tokens: 700 };
    /// assert_eq!(one.plus(one).tokens, 1400);
    /// ```
    pub fn plus(self, other: Work) -> Work {
        Work { open: self.open + other.open, tokens: self.tokens + other.tokens }
    }
}
