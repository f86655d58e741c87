//! Tracks whether a change is in force on a set of processes.

use serde::Serialize;
use tables::Name;

/// A process and the last revision that it reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Process {
    /// Its operations address.
    pub address: Name,
    /// The last reported revision; `None` if it has not responded.
    pub revision: Option<u64>,
}

/// Tracks which processes have not yet reported a version or a later one.
///
/// ```
/// let mut wait = operator::Wait::new(7, &["127.0.0.1:9001".into()]);
/// wait.observe("127.0.0.1:9001", Some(6));
/// assert!(!wait.is_complete());
/// wait.observe("127.0.0.1:9001", Some(8));
/// assert!(wait.is_complete());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wait {
    version: u64,
    pending: Vec<Process>,
}

impl Wait {
    /// Tracks `version` on the processes at `addresses`.
    pub fn new(version: u64, addresses: &[Name]) -> Wait {
        let process = |address: &Name| Process { address: address.clone(), revision: None };
        Wait { version, pending: addresses.iter().map(process).collect() }
    }

    /// Records the revision that a process reported; `None` if it did not respond.
    pub fn observe(&mut self, address: &str, revision: Option<u64>) {
        let Some(index) = self.pending.iter().position(|process| process.address == address) else {
            return;
        };
        if revision.is_some_and(|revision| revision >= self.version) {
            self.pending.remove(index);
        } else if revision.is_some() {
            self.pending[index].revision = revision;
        }
    }

    /// Whether all processes have reported the version or a later one.
    pub fn is_complete(&self) -> bool {
        self.pending.is_empty()
    }

    /// The awaited version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The processes that have not reported the version yet.
    pub fn pending(&self) -> &[Process] {
        &self.pending
    }
}
