//! Since when a process has had what it needs to learn of changes.

use std::collections::BTreeMap;
use std::time::Duration;

use tables::Name;

use super::World;

/// Entries that see the platform, and agents that are joined to such an entry,
/// each with the incarnations for which it holds and since when.
#[derive(Debug, Default)]
pub struct Health {
    since: BTreeMap<(Name, Name), (u64, Duration)>,
}

impl Health {
    /// How long an entry has seen the platform, or an agent has been joined to
    /// one that does, without a pause.
    pub fn sound(&self, now: Duration, process: &str) -> Duration {
        let of_process = self.since.iter().filter(|((name, _), _)| name == process);
        let since = of_process.map(|(_, (_, since))| *since).min();
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    fn note(&mut self, now: Duration, pair: (Name, Name), lives: Option<u64>) {
        match (lives, self.since.get(&pair)) {
            (None, _) => {
                self.since.remove(&pair);
            }
            (Some(lives), Some((known, _))) if lives == *known => {}
            (Some(lives), _) => {
                self.since.insert(pair, (lives, now));
            }
        }
    }
}

impl World {
    /// Looks at what is broken now.
    pub(super) fn observe_health(&mut self) {
        let now = self.now;
        let names: Vec<Name> = self.entries.keys().cloned().collect();
        for entry in &names {
            let sees = self.entry_life(entry);
            self.health.note(now, (entry.clone(), entry.clone()), sees);
            let agents: Vec<Name> = self.agents.keys().cloned().collect();
            for agent in agents {
                let life = self.agent_life(&agent);
                let joined = !self.network.is_cut(&agent, entry);
                // Incarnations are counted over all processes of a world.
                let lives = match (sees, life) {
                    (Some(sees), Some(life)) if joined => Some(sees << 32 | life),
                    _ => None,
                };
                self.health.note(now, (agent, entry.clone()), lives);
            }
        }
    }

    fn entry_life(&self, name: &str) -> Option<u64> {
        let entry = self.entry(name)?;
        let platform = !self.platform.down
            && self.platform.slow.is_zero()
            && self.platform.watch_delay.is_zero();
        let sees = platform && !entry.blind && !entry.frozen && self.network.loss == 0;
        sees.then_some(entry.incarnation)
    }

    fn agent_life(&self, name: &str) -> Option<u64> {
        let agent = self.agent(name)?;
        let listed = !self.unlisted.contains(name);
        (!agent.frozen && listed).then_some(agent.incarnation)
    }
}
