//! The agents that the store names, also after it was restored.

use std::collections::BTreeMap;
use std::time::Duration;

use balance::content::Agent;
use tables::Name;

/// Time after a restore within which agents enter themselves again: they learn
/// of it when they next list the agents, and spread their writes.
const LOST_HOLD: Duration = Duration::from_secs(12);

/// Agents by name.
///
/// An agent that a restored store has lost stays until it has had time to
/// enter itself again: a group whose agents know only some of each other would
/// choose several leaders.
///
/// ```
/// use std::time::Duration;
/// use balance::content::Agent;
/// let agent = Agent {
///     link: "tcp://10.0.0.1:1".into(),
///     address: ([10, 0, 0, 1], 1).into(),
///     group: "g".into(),
/// };
/// let mut roster = rank::roster::Roster::default();
/// roster.learn(Duration::ZERO, 1, vec![("a".into(), agent)]);
/// roster.learn(Duration::from_secs(1), 2, Vec::new());
/// assert_eq!(roster.agents().len(), 1);
/// roster.learn(Duration::from_secs(60), 2, Vec::new());
/// assert!(roster.agents().is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Roster {
    era: u64,
    agents: BTreeMap<Name, Agent>,
    /// Agents that a restored store doesn't name, with the time until which
    /// they are kept.
    lost: BTreeMap<Name, Duration>,
}

impl Roster {
    /// Takes in a listing of an era of the store.
    pub fn learn(&mut self, now: Duration, era: u64, listed: Vec<(Name, Agent)>) {
        if era < self.era {
            return;
        }
        let listed: BTreeMap<Name, Agent> = listed.into_iter().collect();
        if era > self.era {
            let lost = self.agents.keys().filter(|name| !listed.contains_key(*name));
            self.lost.extend(lost.map(|name| (name.clone(), now + LOST_HOLD)));
            self.era = era;
        }
        self.lost.retain(|name, until| now < *until && !listed.contains_key(name));
        let lost = &self.lost;
        self.agents.retain(|name, _| lost.contains_key(name));
        self.agents.extend(listed);
    }

    /// The agents.
    pub fn agents(&self) -> &BTreeMap<Name, Agent> {
        &self.agents
    }
}
