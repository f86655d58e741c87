//! Settings of an agent beside a rank.

use std::net::SocketAddr;

use ::settings::{Check, Fault, Reason};
use serde::{Deserialize, Serialize};
use tables::Name;

/// Settings, read from JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub name: Name,
    /// Address of the rank on this host.
    pub rank: SocketAddr,
    /// Pool that the rank belongs to.
    pub pool: Name,
    /// Address on which frames of other agents are taken.
    pub link: SocketAddr,
    /// Address for metrics and dumps.
    pub operations: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
}

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
        faults
    }
}

impl Settings {
    /// The link of the agent.
    pub fn link_name(&self) -> Name {
        format!("tcp://{}", self.link).into()
    }
}
