//! What happens to a world from outside, beside what its processes do.

use platform::Expect;
use serde_json::{Value, json};
use tables::Name;

use super::World;
use super::caller::End;
use super::check::Change;

impl World {
    /// Crashes the server of a host, if it has one that runs.
    pub fn crash_server(&mut self, name: &Name) {
        self.journal.graceful.clear();
        let now = self.now;
        let Some(agent) = self.agent_mut(name) else { return };
        let incarnation = agent.incarnation;
        let events = agent.server.crash(now);
        for (ticket, event) in events {
            self.call(now, name, incarnation, agent::Input::Event(ticket, event));
        }
    }

    /// Makes an engine cold without telling anybody.
    pub fn chill(&mut self, name: &str) {
        if let Some(agent) = self.agent_mut(name) {
            agent.server.chill();
        }
    }

    /// A caller hangs up.
    pub fn hang_up(&mut self, request: &str) {
        let Some(caller) = self.callers.get_mut(request) else { return };
        if caller.end.is_some() {
            return;
        }
        caller.end = Some(End::Cut);
        let (id, entry) = (caller.id, caller.entry.clone());
        self.journal.graceful.retain(|one| one != request);
        self.step_entry(&entry, routing::Input::Disconnected(id));
    }

    /// The highest version of a row in the platform's tables.
    pub fn newest_row(&self) -> u64 {
        let changes = self.platform.store.changes(&super::Platform::kinds(), 0);
        let versions = changes.map(|changes| changes.changes).unwrap_or_default();
        versions.iter().map(|change| change.version).max().unwrap_or(0)
    }

    /// Hides the platform from one entry, or shows it again.
    pub fn blind(&mut self, name: &Name, blind: bool) {
        if let Some(Some(entry)) = self.entries.get_mut(name) {
            entry.blind = blind;
        }
    }

    /// Enters a host into the platform's list, or drops it from there.
    pub fn list(&mut self, name: &Name, listed: bool) {
        if listed {
            self.unlisted.remove(name);
            self.platform.store.put_host(self.hosts[name].clone());
        } else {
            self.unlisted.insert(name.clone());
            self.platform.store.delete_host(name);
        }
    }

    /// An operator changes a row that was read just now. Returns the row's new
    /// version, if the platform accepts the change.
    pub fn change(&mut self, kind: &str, name: &str, value: Value) -> Option<u64> {
        let expect = self.expect(kind, name);
        self.change_if(kind, name, expect, value)
    }

    /// What an operator who reads a row now takes it for.
    pub fn expect(&self, kind: &str, name: &str) -> Expect {
        Expect::of(self.platform.store.get(kind, name).as_ref())
    }

    /// An operator changes a row that was read a while ago.
    pub fn change_if(
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

    /// Takes a backend server out of service or returns it.
    pub fn set_server(&mut self, server: &str, out: bool) -> Option<u64> {
        let version = self.change("server", server, json!({ "out": out }))?;
        if out {
            self.journal.servers_out.entry(server.into()).or_insert(self.now);
        } else {
            self.journal.servers_out.remove(server);
        }
        Some(version)
    }

    /// Takes a zone out of service or returns it.
    pub fn set_zone(&mut self, zone: &str, out: bool) -> Option<u64> {
        let version = self.change("zone", zone, json!({ "out": out }))?;
        if out {
            self.journal.zones_out.entry(zone.into()).or_insert(self.now);
        } else {
            self.journal.zones_out.remove(zone);
        }
        Some(version)
    }
}
