//! Messages between entries: their positions in the store, their load on each
//! backend server and the requests that crashed backend servers.

use std::time::Duration;

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
    /// The entry's copy of each kind.
    pub replicas: Vec<Replica>,
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
    /// Whether the entry is shutting down.
    pub leaving: bool,
}

/// An entry's copy of one kind of object.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// Kind of the objects.
    pub kind: Kind,
    /// Position of the copy.
    pub position: Position,
    /// Time since the store last answered a call of the entry for this kind, in
    /// milliseconds; `None` if it never did.
    pub answered_ms: Option<u32>,
}

impl Replica {
    /// Time of the store's last answer, given the time at which the message arrived.
    ///
    /// ```
    /// use std::time::Duration;
    /// use balance::{content::Kind, gossip::Replica};
    /// let position = tables::Position { era: 1, revision: 7 };
    /// let replica = Replica { kind: Kind::Config, position, answered_ms: Some(200) };
    /// assert_eq!(replica.answered_at(Duration::from_secs(1)), Some(Duration::from_millis(800)));
    /// ```
    pub fn answered_at(&self, now: Duration) -> Option<Duration> {
        let age = Duration::from_millis(self.answered_ms?.into());
        Some(now.saturating_sub(age))
    }
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
