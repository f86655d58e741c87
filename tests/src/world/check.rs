//! Invariants, checked periodically while a simulation runs.

use std::collections::BTreeMap;
use std::time::Duration;

use routing::problem::Code;
use serde_json::Value;
use tables::Name;
use wire::{Dispatch, Execution, Reason, RequestId};

use super::World;
use super::caller::{Caller, End};
use super::server::POISON;

/// Time after which a zone or server taken out of service gets no new work.
const OUT_LIMIT: Duration = Duration::from_secs(3);
/// Time within which an accepted change takes effect everywhere.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(6);

/// A request that was dispatched to a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    /// Time of the dispatch.
    pub at: Duration,
    /// The server.
    pub server: Name,
    /// The server's availability zone.
    pub zone: Name,
    /// The request.
    pub id: RequestId,
    /// For a request that must run at most once: its idempotency key, or the
    /// request id if it has none.
    pub execution_key: Option<Name>,
}

/// An operator's change that the platform accepted.
#[derive(Clone, Debug)]
pub struct Change {
    /// Time of acceptance.
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

/// The events of a simulation that the invariants depend on.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    /// All dispatched requests, in order.
    pub runs: Vec<Run>,
    /// Availability zones out of service, with the start time.
    pub zones_out: BTreeMap<Name, Duration>,
    /// Backend servers out of service, with the start time.
    pub servers_out: BTreeMap<Name, Duration>,
    /// Accepted operator changes, in order.
    pub changes: Vec<Change>,
    /// Requests in progress at processes that were stopped while no fault was
    /// active: none of them may be aborted.
    pub graceful: Vec<String>,
    /// Whether the limit on work for servers out of service starts only once a
    /// process can receive changes.
    pub exempt_isolated: bool,
    /// Violated invariants.
    pub violations: Vec<String>,
    counts: BTreeMap<Name, u32>,
    revisions: BTreeMap<Name, (u64, u64)>,
}

impl Journal {
    /// Records a dispatch, and checks that the request runs at most once.
    pub fn record_run(&mut self, now: Duration, server: &Name, zone: &Name, dispatch: &Dispatch) {
        let execution_key = (!dispatch.idempotent).then(|| match &dispatch.key {
            Some(key) => key.clone(),
            None => dispatch.id.to_string().into(),
        });
        if let Some(execution_key) = &execution_key {
            let count = self.counts.entry(execution_key.clone()).or_default();
            *count += 1;
            if *count > 1 {
                self.violations
                    .push(format!("{execution_key} ran {count} times, last on {server}"));
            }
        }
        let (server, zone) = (server.clone(), zone.clone());
        self.runs.push(Run { at: now, server, zone, id: dispatch.id, execution_key });
    }

    /// Records the applied revision of a process, which must never decrease.
    pub fn record_revision(&mut self, process: &Name, incarnation: u64, revision: u64) {
        let last = self.revisions.entry(process.clone()).or_insert((incarnation, revision));
        if last.0 == incarnation && revision < last.1 {
            let violation = format!("{process} went back from revision {} to {revision}", last.1);
            self.violations.push(violation);
        }
        *last = (incarnation, revision);
    }

    /// Whether a request was dispatched.
    pub fn has_run(&self, id: &RequestId) -> bool {
        self.runs.iter().any(|run| run.id == *id)
    }

    /// Number of executions of a key.
    pub fn count(&self, key: &str) -> u32 {
        self.counts.get(key).copied().unwrap_or(0)
    }

    /// Time for which a server or its zone has been out of service.
    fn out_for(&self, now: Duration, server: &str, zone: &str) -> Option<Duration> {
        let zone = self.zones_out.get(zone);
        let since = zone.into_iter().chain(self.servers_out.get(server)).min()?;
        Some(now.saturating_sub(*since))
    }

    fn add_violation(&mut self, violation: String) {
        if !self.violations.contains(&violation) {
            self.violations.push(violation);
        }
    }
}

impl World {
    /// Checks that a process neither dispatches nor starts work for a server more
    /// than [`OUT_LIMIT`] after it could receive that the server is out.
    pub(super) fn check_out_of_service(
        &mut self,
        process: &str,
        what: &str,
        server: &Name,
        zone: &Name,
    ) {
        let Some(out) = self.journal.out_for(self.now, server, zone) else { return };
        let healthy = match self.journal.exempt_isolated {
            true => self.health.healthy_for(self.now, process),
            false => Duration::MAX,
        };
        if out.min(healthy) > OUT_LIMIT {
            self.journal
                .add_violation(format!("{process} {what} {server} in {zone}, which is out"));
        }
    }

    /// The concurrency limit that an agent applies to its server.
    pub fn limit(&self, name: &str) -> Option<u32> {
        let agent = self.agent(name)?;
        let report = agent.state.report(self.now.saturating_sub(agent.started));
        Some(report.limit)
    }

    /// Checks the invariants on responses and server load.
    pub fn check(&mut self) {
        let mut violations = Vec::new();
        for (name, caller) in &self.callers {
            violations.extend(self.check_caller(name, caller));
        }
        for (name, agent) in &self.agents {
            let Some(agent) = agent else { continue };
            if agent.server.overloads > 0 {
                violations.push(format!("{name} was given more requests than its capacity"));
            }
        }
        for violation in violations {
            self.journal.add_violation(violation);
        }
    }

    fn check_caller(&self, name: &str, caller: &Caller) -> Option<String> {
        match caller.end.as_ref()? {
            End::Complete if !caller.matches_expected => {
                Some(format!("{name} got a wrong response body"))
            }
            End::Problem(problem)
                if problem.execution == Execution::NotRun && self.journal.has_run(&caller.id) =>
            {
                Some(format!("{name} was answered not_run but was executed"))
            }
            End::Problem(problem)
                if problem.code == Code::Refused(Reason::Poison)
                    && !String::from_utf8_lossy(&caller.body).contains(POISON) =>
            {
                Some(format!("{name} was refused as poison without being poisonous"))
            }
            End::Problem(_) | End::Aborted
                if self.journal.graceful.iter().any(|one| one == name) =>
            {
                Some(format!("{name} was cut off by a planned stop: {}", caller.summary()))
            }
            _ => None,
        }
    }

    /// Checks that accepted changes are applied by all processes that can
    /// receive them.
    pub(super) fn check_propagation(&mut self) {
        let mut violations = Vec::new();
        let before = |change: &&Change| change.at + PROPAGATION_LIMIT < self.now;
        let Some(last) = self.journal.changes.iter().rev().find(before) else { return };
        let processes = self.entries.keys().chain(self.agents.keys());
        for name in processes {
            if self.health.healthy_for(self.now, name) <= PROPAGATION_LIMIT {
                continue;
            }
            let has = self.revision(name).unwrap_or(0);
            if has < last.version {
                violations.push(format!("{name} has revision {has}, not yet {}", last.version));
            }
            self.check_agent(name, &mut violations);
        }
        for violation in violations {
            self.journal.add_violation(violation);
        }
    }

    /// Checks that an agent applies its table: whether it accepts work, and the
    /// concurrency limit of a plain service.
    fn check_agent(&self, name: &Name, violations: &mut Vec<String>) {
        let Some(agent) = self.agent(name) else { return };
        let report = agent.state.report(self.now.saturating_sub(agent.started));
        let settled = |kind: &str, row: &str| {
            let of_row = |change: &&Change| change.kind == kind && change.name == row;
            let mut changes = self.journal.changes.iter().filter(of_row);
            changes.all(|change| change.at + PROPAGATION_LIMIT < self.now)
        };
        let out = self.journal.out_for(self.now, name, &agent.zone).is_some();
        let known = settled("zone", &agent.zone) && settled("server", name);
        if known && report.leaving != out && !agent.stopping {
            violations.push(format!(
                "{name} reports leaving {}, but out of service is {out}",
                report.leaving
            ));
        }
        let of_pool = |change: &&Change| change.kind == "pool" && change.name == agent.pool;
        let Some(limit) = self.journal.changes.iter().rev().find(of_pool) else { return };
        let (accepted, has) = (&limit.value["limit"], report.limit);
        if settled("pool", &agent.pool) && accepted.as_u64() != Some(has.into()) {
            violations.push(format!("{name} has limit {has}, not {accepted}"));
        }
    }
}
