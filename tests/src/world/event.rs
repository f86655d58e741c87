//! External events: server crashes, disconnects and operator changes.

use platform::Expect;
use serde_json::{Value, json};
use tables::Name;

use super::World;
use super::caller::End;
use super::check::Change;

impl World {
    /// Crashes the backend server of a host whose agent is running.
    pub fn crash_server(&mut self, name: &Name) {
        self.journal.graceful.clear();
        let now = self.now;
        let Some(agent) = self.agent_mut(name) else { return };
        let incarnation = agent.incarnation;
        let events = agent.server.crash(now);
        for (ticket, event) in events {
            self.schedule(now, name, incarnation, agent::Input::Event(ticket, event));
        }
    }

    /// Makes an engine cold without a report to its agent.
    pub fn make_cold(&mut self, name: &str) {
        if let Some(agent) = self.agent_mut(name) {
            agent.server.make_cold();
        }
    }

    /// Disconnects a caller before its response is complete.
    pub fn disconnect_caller(&mut self, request: &str) {
        let Some(caller) = self.callers.get_mut(request) else { return };
        if caller.end.is_some() {
            return;
        }
        caller.end = Some(End::Aborted);
        let (id, entry) = (caller.id, caller.entry.clone());
        self.journal.graceful.retain(|one| one != request);
        self.step_entry(&entry, routing::Input::Disconnected(id));
    }

    /// The highest version of a row in the platform's tables.
    pub fn latest_row_version(&self) -> u64 {
        let changes = self.platform.store.changes(&super::Platform::kinds(), 0);
        let versions = changes.map(|changes| changes.changes).unwrap_or_default();
        versions.iter().map(|change| change.version).max().unwrap_or(0)
    }

    /// Blocks or restores an entry's access to the platform.
    pub fn set_isolated(&mut self, name: &Name, isolated: bool) {
        if let Some(Some(entry)) = self.entries.get_mut(name) {
            entry.isolated = isolated;
        }
    }

    /// Adds a host to the platform's host list or removes it.
    pub fn set_listed(&mut self, name: &Name, listed: bool) {
        if listed {
            self.unlisted.remove(name);
            self.platform.store.put_host(self.hosts[name].clone());
        } else {
            self.unlisted.insert(name.clone());
            self.platform.store.delete_host(name);
        }
    }

    /// Changes a row as an operator, based on its current version. Returns the
    /// row's new version if the platform accepts the change.
    pub fn put_row(&mut self, kind: &str, name: &str, value: Value) -> Option<u64> {
        let expect = self.row_version(kind, name);
        self.put_row_if(kind, name, expect, value)
    }

    /// The current version of a row, as the precondition of a later write.
    pub fn row_version(&self, kind: &str, name: &str) -> Expect {
        Expect::of(self.platform.store.get(kind, name).as_ref())
    }

    /// Changes a row as an operator, based on a version read earlier.
    pub fn put_row_if(
        &mut self,
        kind: &str,
        name: &str,
        expect: Expect,
        value: Value,
    ) -> Option<u64> {
        if self.platform.down {
            return None;
        }
        let version = self.platform.store.put(kind, name, expect, value.clone()).ok()?;
        let (at, kind, name) = (self.now, kind.into(), name.into());
        self.journal.changes.push(Change { at, kind, name, version, value });
        Some(version)
    }

    /// Takes a backend server out of service or returns it to service.
    pub fn set_server(&mut self, server: &str, out: bool) -> Option<u64> {
        let version = self.put_row("server", server, json!({ "out": out }))?;
        if out {
            self.journal.servers_out.entry(server.into()).or_insert(self.now);
        } else {
            self.journal.servers_out.remove(server);
        }
        Some(version)
    }

    /// Takes an availability zone out of service or returns it to service.
    pub fn set_zone(&mut self, zone: &str, out: bool) -> Option<u64> {
        let version = self.put_row("zone", zone, json!({ "out": out }))?;
        if out {
            self.journal.zones_out.entry(zone.into()).or_insert(self.now);
        } else {
            self.journal.zones_out.remove(zone);
        }
        Some(version)
    }
}
