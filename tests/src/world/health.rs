//! Tracks since when each process has been able to receive changes.

use std::collections::BTreeMap;
use std::time::Duration;

use tables::Name;

use super::World;

/// Entries that reach the platform, and agents connected to such an entry, each
/// with the incarnations and the time since which this holds.
#[derive(Debug, Default)]
pub struct Health {
    since: BTreeMap<(Name, Name), (u64, Duration)>,
}

impl Health {
    /// Time for which an entry has reached the platform, or an agent has been
    /// connected to such an entry, without interruption.
    pub fn healthy_for(&self, now: Duration, process: &str) -> Duration {
        let of_process = self.since.iter().filter(|((name, _), _)| name == process);
        let since = of_process.map(|(_, (_, since))| *since).min();
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    fn update(&mut self, now: Duration, pair: (Name, Name), incarnation: Option<u64>) {
        match (incarnation, self.since.get(&pair)) {
            (None, _) => {
                self.since.remove(&pair);
            }
            (Some(incarnation), Some((current, _))) if incarnation == *current => {}
            (Some(incarnation), _) => {
                self.since.insert(pair, (incarnation, now));
            }
        }
    }
}

impl World {
    /// Updates the tracked times from the faults that are active now.
    pub(super) fn observe_health(&mut self) {
        let now = self.now;
        let names: Vec<Name> = self.entries.keys().cloned().collect();
        for entry in &names {
            let entry_incarnation = self.reachable_entry(entry);
            self.health.update(now, (entry.clone(), entry.clone()), entry_incarnation);
            let agents: Vec<Name> = self.agents.keys().cloned().collect();
            for agent in agents {
                let agent_incarnation = self.reachable_agent(&agent);
                let connected = !self.network.is_partitioned(&agent, entry);
                // Incarnations are unique across all processes of a simulation.
                let incarnation = match (entry_incarnation, agent_incarnation) {
                    (Some(entry_incarnation), Some(agent_incarnation)) if connected => {
                        Some(entry_incarnation << 32 | agent_incarnation)
                    }
                    _ => None,
                };
                self.health.update(now, (agent, entry.clone()), incarnation);
            }
        }
    }

    fn reachable_entry(&self, name: &str) -> Option<u64> {
        let entry = self.entry(name)?;
        let platform = !self.platform.down
            && self.platform.extra_delay.is_zero()
            && self.platform.watch_delay.is_zero();
        let reaches = platform && !entry.isolated && !entry.frozen && self.network.loss == 0;
        reaches.then_some(entry.incarnation)
    }

    fn reachable_agent(&self, name: &str) -> Option<u64> {
        let agent = self.agent(name)?;
        let listed = !self.unlisted.contains(name);
        (!agent.frozen && listed).then_some(agent.incarnation)
    }
}
