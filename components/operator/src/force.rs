//! Whether a change is in force on the processes that were asked.

use serde::Serialize;
use tables::Name;

/// A process that is not known to be at the version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Process {
    /// Its operations address.
    pub address: Name,
    /// The revision that it last showed, if it answered.
    pub revision: Option<u64>,
}

/// Waits until all processes have shown a version.
///
/// ```
/// let mut wait = operator::Wait::new(7, &["127.0.0.1:9001".into()]);
/// wait.take("127.0.0.1:9001", Some(6));
/// assert!(!wait.is_over());
/// wait.take("127.0.0.1:9001", Some(8));
/// assert!(wait.is_over());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wait {
    version: u64,
    pending: Vec<Process>,
}

impl Wait {
    /// Waits for `version` on the processes at `addresses`.
    pub fn new(version: u64, addresses: &[Name]) -> Wait {
        let process = |address: &Name| Process { address: address.clone(), revision: None };
        Wait { version, pending: addresses.iter().map(process).collect() }
    }

    /// Takes in the revision that a process showed, or that it did not answer.
    pub fn take(&mut self, address: &str, revision: Option<u64>) {
        let Some(index) = self.pending.iter().position(|process| process.address == address) else {
            return;
        };
        if revision.is_some_and(|revision| revision >= self.version) {
            self.pending.remove(index);
        } else if revision.is_some() {
            self.pending[index].revision = revision;
        }
    }

    /// Whether all processes are at the version.
    pub fn is_over(&self) -> bool {
        self.pending.is_empty()
    }

    /// The version waited for.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The processes that are not yet known to be at the version.
    pub fn pending(&self) -> &[Process] {
        &self.pending
    }
}
