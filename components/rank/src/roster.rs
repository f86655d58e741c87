//! Agents listed by the store, kept for a while if a restored store lacks them.

use std::collections::BTreeMap;
use std::time::Duration;

use balance::content::Agent;
use tables::Name;

/// Time after a restore within which agents register again: they detect it when
/// they next list the agents, and then spread their writes over time.
const MISSING_RETENTION: Duration = Duration::from_secs(12);

/// Agents by name.
///
/// An agent that is missing after a restore of the store stays until it has had
/// time to register again. Otherwise agents would have different lists of each
/// other and elect several leaders.
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
/// roster.apply_listing(Duration::ZERO, 1, vec![("a".into(), agent)]);
/// roster.apply_listing(Duration::from_secs(1), 2, Vec::new());
/// assert_eq!(roster.agents().len(), 1);
/// roster.apply_listing(Duration::from_secs(60), 2, Vec::new());
/// assert!(roster.agents().is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Roster {
    era: u64,
    agents: BTreeMap<Name, Agent>,
    /// Agents missing from a restored store, with the time until which they are
    /// kept.
    missing: BTreeMap<Name, Duration>,
}

impl Roster {
    /// Applies a listing from the given era of the store. Listings of earlier eras
    /// are ignored.
    pub fn apply_listing(&mut self, now: Duration, era: u64, listed: Vec<(Name, Agent)>) {
        if era < self.era {
            return;
        }
        let listed: BTreeMap<Name, Agent> = listed.into_iter().collect();
        if era > self.era {
            let missing = self.agents.keys().filter(|name| !listed.contains_key(*name));
            self.missing.extend(missing.map(|name| (name.clone(), now + MISSING_RETENTION)));
            self.era = era;
        }
        self.missing.retain(|name, until| now < *until && !listed.contains_key(name));
        let missing = &self.missing;
        self.agents.retain(|name, _| missing.contains_key(name));
        self.agents.extend(listed);
    }

    /// Returns the listed and the retained agents.
    pub fn agents(&self) -> &BTreeMap<Name, Agent> {
        &self.agents
    }
}
