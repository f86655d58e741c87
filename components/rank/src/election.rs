//! Whom an agent follows: the first in the order of names that answers.

use std::time::Duration;

use tables::Name;

/// Silence after which the next agent is tried.
const PATIENCE: Duration = Duration::from_millis(1600);

/// The same while a change of the map is under way: the silent leader may hold
/// the group.
const PATIENCE_CHANGING: Duration = Duration::from_millis(700);

/// Time between two questions whether an agent earlier in order is back.
const PROBE: Duration = Duration::from_millis(500);

/// The agents of a group in order, and which of them is followed.
///
/// ```
/// use std::time::Duration;
/// let mut follow = rank::Follow::new("b".into());
/// follow.set_agents(Duration::ZERO, vec!["a".into(), "b".into()]);
/// assert_eq!(follow.leader(), Some(&"a".into()));
/// follow.tick(Duration::from_secs(2), false);
/// assert!(follow.leads());
/// ```
#[derive(Debug)]
pub struct Follow {
    own: Name,
    agents: Vec<Name>,
    index: usize,
    heard: Duration,
    probed: Duration,
}

impl Follow {
    /// An agent that knows no other.
    pub fn new(own: Name) -> Follow {
        Follow { own, agents: Vec::new(), index: 0, heard: Duration::ZERO, probed: Duration::ZERO }
    }

    /// Takes over which agents there are.
    pub fn set_agents(&mut self, now: Duration, mut agents: Vec<Name>) {
        agents.sort();
        if agents == self.agents {
            return;
        }
        let leader = self.leader().cloned();
        self.agents = agents;
        let place = leader.and_then(|leader| self.agents.iter().position(|name| *name == leader));
        self.index = place.unwrap_or(0);
        self.heard = now;
    }

    /// The agent that is followed.
    pub fn leader(&self) -> Option<&Name> {
        self.agents.get(self.index)
    }

    /// Whether this agent leads.
    pub fn leads(&self) -> bool {
        self.leader() == Some(&self.own)
    }

    /// An agent says that it would lead.
    pub fn hear(&mut self, now: Duration, from: &str) {
        let Some(place) = self.agents.iter().position(|name| name == from) else { return };
        if place <= self.index {
            self.index = place;
            self.heard = now;
        }
    }

    /// Goes on to the next agent if the present one is silent. Returns the
    /// agents earlier in order that should be asked now.
    pub fn tick(&mut self, now: Duration, changing: bool) -> Vec<Name> {
        if self.agents.is_empty() {
            return Vec::new();
        }
        let patience = if changing { PATIENCE_CHANGING } else { PATIENCE };
        if !self.leads() && now > self.heard + patience {
            self.index = (self.index + 1) % self.agents.len();
            self.heard = now;
        }
        if now < self.probed + PROBE {
            return Vec::new();
        }
        self.probed = now;
        self.agents[..self.index].to_vec()
    }
}
