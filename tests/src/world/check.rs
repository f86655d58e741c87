//! The promises, checked at every step of a world.

use std::collections::BTreeMap;
use std::time::Duration;

use tables::Name;
use wire::{Dispatch, Ran, RequestId};

use super::World;
use super::caller::End;

/// Time after which a zone or server that was taken out gets no new work.
const OUT_LIMIT: Duration = Duration::from_secs(3);

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

/// What happened in a world.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    /// All requests that were handed over, in order.
    pub runs: Vec<Run>,
    /// Zones that are out, and since when.
    pub zones_out: BTreeMap<Name, Duration>,
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
        let late = self.zones_out.get(zone).is_some_and(|out| now > *out + OUT_LIMIT);
        if late {
            self.violations.push(format!("{server} began work in {zone}, which is out"));
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
}

impl World {
    /// Checks what can be seen from outside.
    pub fn check(&mut self) {
        let mut broken = Vec::new();
        for (name, caller) in &self.callers {
            match &caller.end {
                Some(End::Whole) if !caller.is_whole() => {
                    broken.push(format!("{name} got a wrong answer"));
                }
                Some(End::Problem(problem))
                    if problem.ran == Ran::NotRun && self.journal.has_run(&caller.id) =>
                {
                    broken.push(format!("{name} was told not_run but ran"));
                }
                _ => {}
            }
        }
        for (name, agent) in &self.agents {
            let Some(agent) = agent else { continue };
            if agent.server.overloads > 0 {
                broken.push(format!("{name} was given more than it can carry"));
            }
        }
        for violation in broken {
            if !self.journal.violations.contains(&violation) {
                self.journal.violations.push(violation);
            }
        }
    }
}
