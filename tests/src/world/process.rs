//! Process lifecycle: start, kill, freeze and planned stop.

use std::time::Duration;

use agent::State;
use routing::Router;
use tables::host::Role;
use tables::{Name, PoolKind};

use super::caller::{Caller, End};
use super::server::{self, Server};
use super::{Agent, Entry, World};

impl World {
    /// Starts an entry that is not running.
    pub fn start_entry(&mut self, name: &Name) {
        let host = &self.hosts[name];
        self.starts += 1;
        let entries = self.hosts.values().filter(|host| host.role == Role::Entry);
        let options = routing::Options {
            name: name.clone(),
            zone: host.zone.clone(),
            link: host.link.clone(),
            peers: entries.map(|host| host.link.clone()).collect(),
            seed: self.seed ^ self.starts,
        };
        let entry = Entry {
            router: Router::new(options),
            started: self.now,
            incarnation: self.starts,
            watched_revision: None,
            last_watch: self.now,
            isolated: false,
            frozen: false,
            inbox: Vec::new(),
            drained: false,
        };
        self.entries.insert(name.clone(), Some(entry));
    }

    /// Starts an agent that is not running. Its server kept running meanwhile.
    pub fn start_agent(&mut self, name: &Name) {
        let host = self.hosts[name].clone();
        let pool = host.pool.clone().unwrap_or_default();
        let kind = if pool == "chat" { PoolKind::Model } else { PoolKind::Service };
        self.starts += 1;
        let entries = self.hosts.values().filter(|host| host.role == Role::Entry);
        let options = agent::Options {
            name: name.clone(),
            zone: host.zone.clone(),
            pool: pool.clone(),
            incarnation: self.starts,
            limit: server::WARM_CAPACITY as u32,
            cold: kind == PoolKind::Model,
            peers: entries.map(|host| host.link.clone()).collect(),
            partitions: 4,
            claims: claims::Settings::default(),
        };
        let server = self.dead_servers.remove(name).unwrap_or_else(|| Server::new(kind));
        let agent = Agent {
            state: State::new(Duration::ZERO, options),
            started: self.now,
            incarnation: self.starts,
            frozen: false,
            inbox: Vec::new(),
            last_check: Duration::ZERO,
            server,
            zone: host.zone,
            pool,
            stopping: false,
            drained: false,
        };
        self.agents.insert(name.clone(), Some(agent));
    }

    /// Ends processes that have drained, if the simulation lets them exit.
    pub(super) fn exit_drained(&mut self) {
        if !self.exit_when_drained {
            return;
        }
        let entries =
            self.entries.iter().filter(|(_, one)| one.as_ref().is_some_and(|e| e.drained));
        let agents = self.agents.iter().filter(|(_, one)| one.as_ref().is_some_and(|a| a.drained));
        let names: Vec<Name> =
            entries.map(|(name, _)| name).chain(agents.map(|(name, _)| name)).cloned().collect();
        for name in names {
            let running = self.agent(&name).map_or(0, |agent| agent.server.running());
            if running > 0 {
                let violation = format!("{name} exits while its server runs {running}");
                self.journal.violations.push(violation);
            }
            self.kill(&name);
        }
    }

    /// Whether no fault is active.
    fn is_fault_free(&self) -> bool {
        let entries = self.entries.values().all(|entry| {
            entry.as_ref().is_some_and(|entry| !entry.frozen && !entry.isolated && !entry.drained)
        });
        let agents = self.agents.iter().all(|(name, agent)| {
            let up = self.server(name).is_some_and(|server| server.is_up(self.now));
            up && agent.as_ref().is_some_and(|agent| !agent.frozen && !agent.drained)
        });
        let platform = !self.platform.down && self.platform.extra_delay.is_zero();
        // A request that crashes its server aborts the others on that server.
        let crashes = |caller: &Caller| {
            caller.end.is_none() && String::from_utf8_lossy(&caller.body).contains(server::POISON)
        };
        let harmless = !self.callers.values().any(crashes);
        entries
            && agents
            && platform
            && harmless
            && self.network.is_reliable()
            && self.unlisted.is_empty()
    }

    /// Requests in progress at an entry, or running on an agent's server.
    fn in_progress(&self, process: &Name) -> Vec<String> {
        let server = self.agent(process).map(|agent| &agent.server);
        let open = self.callers.iter().filter(|(_, caller)| caller.end.is_none());
        let at = |caller: &Caller| {
            caller.entry == *process || server.is_some_and(|server| server.runs(&caller.id))
        };
        open.filter(|(_, caller)| at(caller)).map(|(name, _)| name.clone()).collect()
    }

    /// Kills a process. The server of a killed agent loses its connections: an
    /// engine cancels its running requests, a plain service completes them.
    pub fn kill(&mut self, name: &Name) {
        if let Some(entry) = self.entries.get_mut(name) {
            *entry = None;
            let cut = |caller: &&mut Caller| caller.entry == *name && caller.end.is_none();
            for caller in self.callers.values_mut().filter(cut) {
                caller.end = Some(End::Aborted);
            }
        }
        if let Some(agent) = self.agents.get_mut(name)
            && let Some(mut agent) = agent.take()
        {
            agent.server.disconnect();
            self.dead_servers.insert(name.clone(), agent.server);
        }
    }

    /// Freezes a process, or resumes it with the inputs queued meanwhile.
    pub fn set_frozen(&mut self, name: &Name, frozen: bool) {
        if let Some(Some(entry)) = self.entries.get_mut(name) {
            entry.frozen = frozen;
            if !frozen {
                for input in std::mem::take(&mut entry.inbox) {
                    self.step_entry(name, input);
                }
            }
        }
        if let Some(Some(agent)) = self.agents.get_mut(name) {
            agent.frozen = frozen;
            if !frozen {
                for input in std::mem::take(&mut agent.inbox) {
                    self.step_agent(name, input);
                }
            }
        }
    }

    /// Starts a planned stop, as SIGTERM does.
    pub fn stop(&mut self, name: &Name) {
        if self.is_fault_free() {
            let open = self.in_progress(name);
            self.graceful += open.len();
            self.journal.graceful.extend(open);
        }
        if self.entries.contains_key(name) {
            self.step_entry(name, routing::Input::Leave);
        } else {
            if let Some(agent) = self.agent_mut(name) {
                agent.stopping = true;
            }
            self.step_agent(name, agent::Input::Leave);
        }
    }
}
