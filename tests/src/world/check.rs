//! The promises, checked at every step of a world.

use std::collections::BTreeMap;
use std::time::Duration;

use routing::problem::Code;
use serde_json::Value;
use tables::Name;
use wire::{Dispatch, Execution, Reason, RequestId};

use super::World;
use super::caller::{Caller, End};
use super::server::POISON;

/// Time after which a zone or server that was taken out gets no new work.
const OUT_LIMIT: Duration = Duration::from_secs(3);
/// Time after which a change is in force everywhere.
const FORCE_LIMIT: Duration = Duration::from_secs(6);

/// A request that was handed over to a server.
#[derive(Clone, Debug)]
pub struct Run {
    /// When.
    pub at: Duration,
    /// The server.
    pub server: Name,
    /// The server's availability zone.
    pub zone: Name,
    /// The request.
    pub id: RequestId,
    /// What must not run twice: the key, or the request itself without one.
    pub once: Option<Name>,
}

/// A change that the platform accepted from an operator.
#[derive(Clone, Debug)]
pub struct Change {
    /// When.
    pub at: Duration,
    /// The kind of the row.
    pub kind: Name,
    /// The name of the row.
    pub name: Name,
    /// The row's new version.
    pub version: u64,
    /// The row's new value.
    pub value: Value,
}

/// What happened in a world.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    /// All requests that were handed over, in order.
    pub runs: Vec<Run>,
    /// Zones that are out, and since when.
    pub zones_out: BTreeMap<Name, Duration>,
    /// Backend servers that are out, and since when.
    pub servers_out: BTreeMap<Name, Duration>,
    /// Changes that operators made, in order.
    pub changes: Vec<Change>,
    /// Requests in progress at processes that were told to stop, while nothing
    /// else is broken: none of them may be cut off.
    pub graceful: Vec<String>,
    /// Whether processes that can't learn of a change are excused for a while.
    pub excuses: bool,
    /// Broken promises.
    pub violations: Vec<String>,
    counts: BTreeMap<Name, u32>,
    revisions: BTreeMap<Name, (u64, u64)>,
}

impl Journal {
    /// Notes that a request is handed over.
    pub fn note_run(&mut self, now: Duration, server: &Name, zone: &Name, dispatch: &Dispatch) {
        let once = (!dispatch.idempotent).then(|| match &dispatch.key {
            Some(key) => key.clone(),
            None => dispatch.id.to_string().into(),
        });
        if let Some(once) = &once {
            let count = self.counts.entry(once.clone()).or_default();
            *count += 1;
            if *count > 1 {
                self.violations.push(format!("{once} ran {count} times, last on {server}"));
            }
        }
        let (server, zone) = (server.clone(), zone.clone());
        self.runs.push(Run { at: now, server, zone, id: dispatch.id, once });
    }

    /// Notes the revision that a process has in force: it never steps back.
    pub fn note_revision(&mut self, process: &Name, incarnation: u64, revision: u64) {
        let last = self.revisions.entry(process.clone()).or_insert((incarnation, revision));
        if last.0 == incarnation && revision < last.1 {
            let broken = format!("{process} went back from revision {} to {revision}", last.1);
            self.violations.push(broken);
        }
        *last = (incarnation, revision);
    }

    /// Whether a request was handed over.
    pub fn has_run(&self, id: &RequestId) -> bool {
        self.runs.iter().any(|run| run.id == *id)
    }

    /// How often a key ran.
    pub fn count(&self, key: &str) -> u32 {
        self.counts.get(key).copied().unwrap_or(0)
    }

    /// How long a server or its zone has been out.
    fn out_for(&self, now: Duration, server: &str, zone: &str) -> Option<Duration> {
        let zone = self.zones_out.get(zone);
        let since = zone.into_iter().chain(self.servers_out.get(server)).min()?;
        Some(now.saturating_sub(*since))
    }

    fn broken(&mut self, violation: String) {
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }
}

impl World {
    /// Checks a request that a process sends or begins for a server: none does
    /// so that has known for long enough that the server is out.
    pub(super) fn check_out(&mut self, process: &str, what: &str, server: &Name, zone: &Name) {
        let Some(out) = self.journal.out_for(self.now, server, zone) else { return };
        let sound = match self.journal.excuses {
            true => self.health.sound(self.now, process),
            false => Duration::MAX,
        };
        if out.min(sound) > OUT_LIMIT {
            self.journal.broken(format!("{process} {what} {server} in {zone}, which is out"));
        }
    }

    /// Most requests that an agent's server is given, as the agent has it.
    pub fn limit(&self, name: &str) -> Option<u32> {
        let agent = self.agent(name)?;
        let report = agent.state.report(self.now.saturating_sub(agent.started));
        Some(report.limit)
    }

    /// Checks what can be seen from outside.
    pub fn check(&mut self) {
        let mut broken = Vec::new();
        for (name, caller) in &self.callers {
            broken.extend(self.check_caller(name, caller));
        }
        for (name, agent) in &self.agents {
            let Some(agent) = agent else { continue };
            if agent.server.overloads > 0 {
                broken.push(format!("{name} was given more than it can carry"));
            }
        }
        for violation in broken {
            self.journal.broken(violation);
        }
    }

    fn check_caller(&self, name: &str, caller: &Caller) -> Option<String> {
        match caller.end.as_ref()? {
            End::Whole if !caller.whole => Some(format!("{name} got a wrong answer")),
            End::Problem(problem)
                if problem.execution == Execution::NotRun && self.journal.has_run(&caller.id) =>
            {
                Some(format!("{name} was told not_run but ran"))
            }
            End::Problem(problem)
                if problem.code == Code::Refused(Reason::Poison)
                    && !String::from_utf8_lossy(&caller.body).contains(POISON) =>
            {
                Some(format!("{name} was condemned and is innocent"))
            }
            End::Problem(_) | End::Cut if self.journal.graceful.iter().any(|one| one == name) => {
                Some(format!("{name} was cut off by a planned stop: {}", caller.show()))
            }
            _ => None,
        }
    }

    /// Checks that accepted changes are in force where they can be known.
    pub(super) fn check_force(&mut self) {
        let mut broken = Vec::new();
        let before = |change: &&Change| change.at + FORCE_LIMIT < self.now;
        let Some(last) = self.journal.changes.iter().rev().find(before) else { return };
        let processes = self.entries.keys().chain(self.agents.keys());
        for name in processes {
            if self.health.sound(self.now, name) <= FORCE_LIMIT {
                continue;
            }
            let has = self.revision(name).unwrap_or(0);
            if has < last.version {
                broken.push(format!("{name} has {has}, not {} yet", last.version));
            }
            self.check_agent(name, &mut broken);
        }
        for violation in broken {
            self.journal.broken(violation);
        }
    }

    /// Checks what an agent does by its table: whether it takes work, and how
    /// much a plain service is given.
    fn check_agent(&self, name: &Name, broken: &mut Vec<String>) {
        let Some(agent) = self.agent(name) else { return };
        let report = agent.state.report(self.now.saturating_sub(agent.started));
        let settled = |kind: &str, row: &str| {
            let of_row = |change: &&Change| change.kind == kind && change.name == row;
            let mut changes = self.journal.changes.iter().filter(of_row);
            changes.all(|change| change.at + FORCE_LIMIT < self.now)
        };
        let out = self.journal.out_for(self.now, name, &agent.zone).is_some();
        let known = settled("zone", &agent.zone) && settled("server", name);
        if known && report.leaving != out && !agent.told {
            broken.push(format!("{name} has out {}, accepted was {out}", report.leaving));
        }
        let of_pool = |change: &&Change| change.kind == "pool" && change.name == agent.pool;
        let Some(limit) = self.journal.changes.iter().rev().find(of_pool) else { return };
        let (accepted, has) = (&limit.value["limit"], report.limit);
        if settled("pool", &agent.pool) && accepted.as_u64() != Some(has.into()) {
            broken.push(format!("{name} has limit {has}, not {accepted}"));
        }
    }
}
