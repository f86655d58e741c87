//! Settings of the agent that runs beside a rank.

use std::net::SocketAddr;

use ::settings::{Check, Fault, Reason};
use serde::{Deserialize, Serialize};
use tables::Name;

/// Settings of the agent, read from JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub name: Name,
    /// Address of the rank on this host.
    pub rank: SocketAddr,
    /// Pool that the rank belongs to.
    pub pool: Name,
    /// Address on which frames from other agents are received.
    pub link: SocketAddr,
    /// Address for metrics and dumps.
    pub operations: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Rate of the host's link in megabits per second, the same on all hosts of
    /// the group's agents.
    pub link_mbit: f64,
}

/// Valid link rates in megabits per second.
const LINK_MBIT_RANGE: std::ops::RangeInclusive<f64> = 0.001..=1e6;

impl Check for Settings {
    fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (pointer, text) in [("/name", &self.name), ("/pool", &self.pool)] {
            if text.is_empty() {
                faults.push(Fault::new(pointer, Reason::Empty));
            }
        }
        if self.link == self.operations {
            faults.push(Fault::new("/operations", Reason::Conflict { other: "/link".into() }));
        }
        faults.extend(Fault::out_of_range("/link_mbit", self.link_mbit, LINK_MBIT_RANGE));
        faults
    }
}

impl Settings {
    /// Returns the rate of the host's link in bytes per second.
    pub fn link_bytes_per_second(&self) -> f64 {
        self.link_mbit * 1e6 / 8.0
    }

    /// Returns the name of the agent's link: `tcp://` and the link address.
    pub fn link_name(&self) -> Name {
        format!("tcp://{}", self.link).into()
    }
}
