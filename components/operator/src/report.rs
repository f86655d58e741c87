//! The printed report of a change command and its exit code.

use std::fmt::{self, Display, Formatter};

use platform::{Expect, Object};
use serde::Serialize;
use serde_json::Value;
use tables::Name;

use crate::{Change, Outcome, Process};

/// One change and its outcome.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// The kind of the row.
    pub kind: &'static str,
    /// The name of the row.
    pub name: Name,
    /// The outcome.
    #[serde(flatten)]
    pub outcome: Outcome,
    /// The desired value; `None` for a deletion.
    pub wanted: Option<Value>,
    /// The version that the change required, 0 for absent.
    pub expected: u64,
}

/// All changes of a command.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// The changes in execution order, preceded by rows that needed none.
    pub changes: Vec<Entry>,
    /// With `--wait`: the processes that did not reach the version in time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pending: Option<Vec<Process>>,
}

impl Entry {
    /// The report entry of a planned change.
    pub fn new(change: &Change, outcome: Outcome) -> Entry {
        Entry {
            kind: change.key.kind.as_str(),
            name: change.key.name.clone(),
            outcome,
            wanted: change.value.clone(),
            expected: change.expect.as_header(),
        }
    }
}

impl Report {
    /// The highest version among accepted and unchanged rows.
    ///
    /// ```
    /// assert_eq!(operator::Report::default().version(), None);
    /// ```
    pub fn version(&self) -> Option<u64> {
        let version = |entry: &Entry| match entry.outcome {
            Outcome::Accepted { version, .. } | Outcome::Unchanged { version } => Some(version),
            _ => None,
        };
        self.changes.iter().filter_map(version).max()
    }

    /// Whether every row was accepted or already had the desired value.
    ///
    /// ```
    /// assert!(operator::Report::default().is_accepted());
    /// ```
    pub fn is_accepted(&self) -> bool {
        let succeeded = |entry: &Entry| {
            matches!(entry.outcome, Outcome::Accepted { .. } | Outcome::Unchanged { .. })
        };
        self.changes.iter().all(succeeded)
    }

    /// The exit code, the first that applies: 4 outcome unknown, 3 conflict,
    /// 1 refused, 5 not in force in time, 0 accepted.
    ///
    /// ```
    /// assert_eq!(operator::Report::default().exit_code(), 0);
    /// ```
    pub fn exit_code(&self) -> i32 {
        let any =
            |predicate: fn(&Outcome) -> bool| self.changes.iter().any(|e| predicate(&e.outcome));
        if any(|outcome| matches!(outcome, Outcome::Unknown { .. })) {
            return 4;
        }
        if any(|outcome| matches!(outcome, Outcome::Conflict { .. })) {
            return 3;
        }
        if any(|outcome| matches!(outcome, Outcome::Refused { .. })) {
            return 1;
        }
        match &self.pending {
            Some(pending) if !pending.is_empty() => 5,
            _ => 0,
        }
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for entry in &self.changes {
            entry.fmt(f)?;
        }
        match &self.pending {
            Some(pending) => fmt_pending(f, pending),
            None => Ok(()),
        }
    }
}

impl Display for Entry {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let row = format!("{} {}", self.kind, self.name);
        match &self.outcome {
            Outcome::Accepted { version, read_back: false } => {
                writeln!(f, "accepted: {row} at version {version}")
            }
            Outcome::Accepted { version, read_back: true } => {
                writeln!(f, "accepted: {row} at version {version} (reply lost, read back)")
            }
            Outcome::Unchanged { version } => {
                writeln!(f, "unchanged: {row} already has this value at version {version}")
            }
            Outcome::Conflict { current } => {
                writeln!(
                    f,
                    "conflict: {row} was changed by another operator; nothing was written"
                )?;
                self.fmt_versions(f, current.as_ref())
            }
            Outcome::Unknown { current: Some(current) } => {
                writeln!(f, "unknown: {row}: reply lost, and the row has another value now")?;
                writeln!(f, "  cannot tell whether your change was applied before it")?;
                self.fmt_versions(f, Some(current))
            }
            Outcome::Unknown { current: None } => {
                writeln!(f, "unknown: {row}: reply lost, and the outcome cannot be determined")?;
                writeln!(f, "  check with `wisteria {}s show {}`", self.kind, self.name)
            }
            Outcome::Refused { error } => {
                writeln!(f, "refused: {row}: {error}; nothing was written")
            }
            Outcome::NotTried => writeln!(f, "not tried: {row}"),
        }
    }
}

impl Entry {
    fn fmt_versions(&self, f: &mut Formatter<'_>, current: Option<&Object>) -> fmt::Result {
        let wanted = self.wanted.as_ref().map_or("deleted".to_owned(), Value::to_string);
        match Expect::from_header(self.expected) {
            Expect::Absent => writeln!(f, "  yours, expecting none: {wanted}")?,
            Expect::Version(version) => {
                writeln!(f, "  yours, expecting version {version}: {wanted}")?;
            }
        }
        match current {
            Some(object) => writeln!(f, "  theirs, version {}: {}", object.version, object.value),
            None => writeln!(f, "  theirs: deleted"),
        }
    }
}

fn fmt_pending(f: &mut Formatter<'_>, pending: &[Process]) -> fmt::Result {
    if pending.is_empty() {
        return writeln!(f, "in force on all processes asked");
    }
    for Process { address, revision } in pending {
        match revision {
            Some(revision) => writeln!(f, "not in force: {address} is at revision {revision}")?,
            None => writeln!(f, "not in force: {address} did not answer")?,
        }
    }
    Ok(())
}
