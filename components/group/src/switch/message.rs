//! Reports of ranks, orders to ranks, and messages between agents.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tables::Name;

use crate::placement::demand::Reading;
use crate::placement::even::Assignment;

/// State of a rank, as reported by the rank.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the group.
    pub group: String,
    /// Epoch of the group; increases each time the group forms.
    pub epoch: u64,
    /// Number of the rank, from 0.
    pub rank: u32,
    /// Number of ranks in the group.
    pub size: u32,
    /// Whether the group is running.
    pub open: bool,
    /// Number of the last pass that began.
    pub step: u64,
    /// Version of the map in use.
    pub map: u64,
    /// Version of the map whose experts are copied and ready; 0 if there is none.
    pub prepared: u64,
    /// The switch for which the rank is armed.
    pub armed: Option<Armed>,
    /// The pass that the rank holds.
    pub held: Option<u64>,
    /// Number of orders that the rank has executed.
    pub sequence: u64,
    /// Time that the rank takes for its work, in tenths of the normal time; at
    /// least [`NORMAL_SLOWNESS`].
    #[serde(default = "normal_slowness")]
    pub slowness: u32,
}

/// Slowness of a rank that works at normal speed.
pub const NORMAL_SLOWNESS: u32 = 10;

fn normal_slowness() -> u32 {
    NORMAL_SLOWNESS
}

impl Report {
    /// Time that the rank takes for its work, as a multiple of the normal time.
    ///
    /// ```
    /// use group::switch::Report;
    /// assert_eq!(Report { slowness: 120, ..Report::default() }.slowdown(), 12.0);
    /// assert_eq!(Report::default().slowdown(), 1.0);
    /// ```
    pub fn slowdown(&self) -> f64 {
        f64::from(self.slowness.max(NORMAL_SLOWNESS)) / f64::from(NORMAL_SLOWNESS)
    }
}

/// A pending switch to a map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Armed {
    /// Version of the map.
    pub version: u64,
    /// The pass at which the map takes effect.
    pub step: u64,
}

/// An order to a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Copy the experts that a map requires.
    Prepare {
        /// Version of the map.
        version: u64,
        /// The map.
        map: Arc<Assignment>,
    },
    /// Don't begin a pass until it is released.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Switch to a prepared map when a pass begins.
    Arm {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Cancel the switch to a map, at whichever pass.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Let a held pass begin.
    Release {
        /// The pass.
        step: u64,
    },
}

impl Order {
    /// Whether a report shows that the order has taken effect or is obsolete.
    ///
    /// ```
    /// use group::switch::{Order, Report};
    /// let report = Report { held: Some(7), ..Report::default() };
    /// assert!(Order::Hold { step: 7 }.is_done(&report));
    /// assert!(!Order::Release { step: 7 }.is_done(&report));
    /// ```
    pub fn is_done(&self, report: &Report) -> bool {
        match self {
            Order::Prepare { version, .. } => report.prepared >= *version,
            Order::Hold { step } => report.held == Some(*step) || report.step >= *step,
            Order::Arm { version, step } => {
                report.armed == Some(Armed { version: *version, step: *step })
                    || report.map == *version
                    || report.step >= *step
            }
            Order::Disarm { version } => report.armed.is_none_or(|armed| armed.version != *version),
            Order::Release { step } => report.held != Some(*step),
        }
    }
}

/// State of a rank, as its agent sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The rank's newest report.
    pub report: Report,
    /// Experts of the map in use that the rank holds, by set of layers; `None` if
    /// they could not be read.
    pub experts: Option<Vec<Vec<u16>>>,
    /// Experts chosen by the rank's requests since the last status with a reading.
    pub demand: Option<Reading>,
}

/// An order that a leader sends to the agent of a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Name of the leader, since another agent may have forwarded the command.
    pub leader: Name,
    /// The epoch in which the order applies.
    pub epoch: u64,
    /// The order.
    pub order: Order,
}

/// A message between agents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From an agent to the presumed leader, with the address at which the rank
    /// accepts orders.
    Status(SocketAddr, Box<Status>),
    /// Reply of a leader to an agent that sent a status.
    Leading,
    /// From the leader to an agent, which executes the command.
    Command(Box<Command>),
    /// A command for an agent that also forwards it to the named links, since a
    /// map is large and the bandwidth of the leader's link is low.
    Relay(Box<Command>, Vec<Name>),
}
