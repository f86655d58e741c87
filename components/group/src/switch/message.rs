//! What ranks report and agents tell each other.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tables::Name;

use crate::placement::demand::Reading;
use crate::placement::even::Assignment;

/// A rank as it reports itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the group.
    pub group: String,
    /// Rises each time the group forms.
    pub epoch: u64,
    /// The rank, from 0.
    pub rank: u32,
    /// Number of ranks.
    pub size: u32,
    /// Whether the group runs.
    pub open: bool,
    /// The last pass that was begun.
    pub step: u64,
    /// Version of the map in use.
    pub map: u64,
    /// Version of the map that is copied and ready; 0 for none.
    pub prepared: u64,
    /// The switch that the rank will make.
    pub armed: Option<Armed>,
    /// The pass at which the rank holds the group.
    pub held: Option<u64>,
    /// Number of orders that the rank carried out.
    pub sequence: u64,
    /// Tenths of the usual time that the rank takes for its work, at least
    /// [`NORMAL_SLOWNESS`].
    #[serde(default = "usual")]
    pub slowness: u32,
}

/// Slowness of a rank that works as usual.
pub const NORMAL_SLOWNESS: u32 = 10;

fn usual() -> u32 {
    NORMAL_SLOWNESS
}

impl Report {
    /// How many times as long as usual the rank takes.
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

/// A switch to a map at a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Armed {
    /// Version of the map.
    pub version: u64,
    /// The pass.
    pub step: u64,
}

/// An order to a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Copy what a map needs.
    Prepare {
        /// Version of the map.
        version: u64,
        /// The map.
        map: Arc<Assignment>,
    },
    /// Don't begin a pass.
    Hold {
        /// The pass.
        step: u64,
    },
    /// Switch to a map as a pass begins.
    Arm {
        /// Version of the map.
        version: u64,
        /// The pass.
        step: u64,
    },
    /// Don't switch to a map, whatever the pass.
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
    /// Whether a report shows that nothing is left to do.
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

/// An agent's account of its rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The rank's newest report.
    pub report: Report,
    /// Experts of the map in use that the rank holds, by set; nothing if they
    /// could not be read.
    pub experts: Option<Vec<Vec<u16>>>,
    /// What the rank's requests chose since the last account that told it.
    pub demand: Option<Reading>,
}

/// A leader's order for the agent beside a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Name of the leader: the command may come by way of another agent.
    pub leader: Name,
    /// The epoch that the order is meant for.
    pub epoch: u64,
    /// The order.
    pub order: Order,
}

/// A message between agents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From an agent to the one that it takes for the leader, with the address
    /// at which its rank takes orders.
    Status(SocketAddr, Box<Status>),
    /// From an agent that would lead to one that sent a status.
    Leading,
    /// From the leader to an agent.
    Command(Box<Command>),
    /// A command for an agent that passes it on to the links of others. A map
    /// is large and the leader's link narrow.
    Relay(Box<Command>, Vec<Name>),
}
