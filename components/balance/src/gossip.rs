//! Messages between entries: their positions in the store, their load on each
//! backend server and the requests that crashed backend servers.

use serde::{Deserialize, Serialize};
use tables::{Name, Position};

use crate::content::Kind;
use crate::hold;
use crate::notice::Start;
use crate::slow::Slowness;
use crate::suspect;
use crate::view::Delta;

/// A message between entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sent periodically and after each change.
    Heartbeat(Heartbeat),
    /// Requests the changes of a kind since a position.
    Pull(Kind, Position),
    /// Reply to [`Message::Pull`]: the kind, the era of the store and the
    /// changes.
    Rows(Kind, u64, Delta),
    /// Sent by the leader of a rank group to all entries.
    Slowness(Slowness),
}

/// Summary of an entry's state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Position of the entry's copy of each kind.
    pub positions: Vec<(Kind, Position)>,
    /// Version of the configuration in force; a restored store may have an
    /// older one.
    pub config: u64,
    /// State that a restore of the store lost and that entries still honour.
    pub holds: Vec<hold::Report>,
    /// The entry's open work by backend server.
    pub load: Vec<(Name, Work)>,
    /// Fingerprints of requests that crashed backend servers, with the number
    /// of crashes that the entry observed.
    pub crashes: Vec<(u64, u32)>,
    /// Prompt parts that may crash backend servers.
    pub suspects: suspect::Report,
    /// Backend servers that announced their shutdown.
    pub departing: Vec<Start>,
    /// Time since the store last answered the entry, in milliseconds; `None` if
    /// it never did.
    pub store_age_ms: Option<u32>,
    /// Whether the entry is shutting down.
    pub leaving: bool,
}

/// Open work at a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Number of open requests.
    pub open: u32,
    /// Prompt tokens of open requests that have not produced their first event.
    pub tokens: u32,
}

impl Work {
    /// Adds two amounts of work.
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
