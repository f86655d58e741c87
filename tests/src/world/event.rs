//! What happens to a world from outside, beside what its processes do.

use serde_json::json;
use tables::Name;

use super::World;

impl World {
    /// Crashes the server of a host, if it has one that runs.
    pub fn crash_server(&mut self, name: &Name) {
        let now = self.now;
        let Some(agent) = self.agent_mut(name) else { return };
        let incarnation = agent.incarnation;
        let events = agent.server.crash(now);
        for (ticket, event) in events {
            self.call(now, name, incarnation, agent::Input::Event(ticket, event));
        }
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
            self.platform.store.put_host(self.hosts[name].clone());
        } else {
            self.platform.store.delete_host(name);
        }
    }

    /// Takes a backend server out of service or returns it.
    pub fn set_server(&mut self, server: &str, out: bool) {
        self.platform.put("server", server, json!({ "out": out }));
    }

    /// Takes a zone out of service or returns it.
    pub fn set_zone(&mut self, zone: &str, out: bool) {
        self.platform.put("zone", zone, json!({ "out": out }));
        if out {
            self.journal.zones_out.insert(zone.into(), self.now);
        } else {
            self.journal.zones_out.remove(zone);
        }
    }
}
