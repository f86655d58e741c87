//! Leader election by name order: agents election the first agent that responds.

use std::time::Duration;

use tables::Name;

/// Time without a message from the leader after which the next agent is followed.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1600);

/// Leader timeout during a map change. It is shorter because a leader that fails
/// then may leave the group held.
const LEADER_TIMEOUT_CHANGING: Duration = Duration::from_millis(700);

/// Time between two probes of the agents that precede the leader.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The agents of a group, sorted by name, and the one followed as leader.
///
/// ```
/// use std::time::Duration;
/// let mut election = rank::Election::new("b".into());
/// election.set_agents(Duration::ZERO, vec!["a".into(), "b".into()]);
/// assert_eq!(election.leader(), Some(&"a".into()));
/// election.tick(Duration::from_secs(2), false);
/// assert!(election.is_leader());
/// ```
#[derive(Debug)]
pub struct Election {
    own: Name,
    agents: Vec<Name>,
    leader_index: usize,
    leader_seen: Duration,
    last_probe: Duration,
}

impl Election {
    /// Creates an election without agents, in which `own` takes part.
    pub fn new(own: Name) -> Election {
        Election {
            own,
            agents: Vec::new(),
            leader_index: 0,
            leader_seen: Duration::ZERO,
            last_probe: Duration::ZERO,
        }
    }

    /// Replaces the agents. Keeps the leader if it is among them, otherwise
    /// follows the first agent. A change restarts the leader timeout.
    pub fn set_agents(&mut self, now: Duration, mut agents: Vec<Name>) {
        agents.sort();
        if agents == self.agents {
            return;
        }
        let leader = self.leader().cloned();
        self.agents = agents;
        let index = leader.and_then(|leader| self.agents.iter().position(|name| *name == leader));
        self.leader_index = index.unwrap_or(0);
        self.leader_seen = now;
    }

    /// Returns the followed agent, or `None` if no agents are set.
    pub fn leader(&self) -> Option<&Name> {
        self.agents.get(self.leader_index)
    }

    /// Returns whether this agent follows itself.
    pub fn is_leader(&self) -> bool {
        self.leader() == Some(&self.own)
    }

    /// Handles a sign that the agent `from` leads: follows it and restarts the
    /// leader timeout. Ignores agents that come after the leader or aren't in the
    /// group.
    pub fn observe_leader(&mut self, now: Duration, from: &str) {
        let Some(index) = self.agents.iter().position(|name| name == from) else { return };
        if index <= self.leader_index {
            self.leader_index = index;
            self.leader_seen = now;
        }
    }

    /// Follows the next agent if the leader timed out, wrapping around at the end.
    /// Returns the agents that precede the leader if they are due to be probed.
    pub fn tick(&mut self, now: Duration, changing: bool) -> Vec<Name> {
        if self.agents.is_empty() {
            return Vec::new();
        }
        let timeout = if changing { LEADER_TIMEOUT_CHANGING } else { LEADER_TIMEOUT };
        if !self.is_leader() && now > self.leader_seen + timeout {
            self.leader_index = (self.leader_index + 1) % self.agents.len();
            self.leader_seen = now;
        }
        if now < self.last_probe + PROBE_INTERVAL {
            return Vec::new();
        }
        self.last_probe = now;
        self.agents[..self.leader_index].to_vec()
    }
}
