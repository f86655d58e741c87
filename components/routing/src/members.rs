//! The backend servers in an entry's subset, by pool.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tables::host::{Role, State};
use tables::{Host, Name, Table};
use wire::{Report, Sender};

use crate::report::{Tracker, View};
use crate::subset;

/// Backend servers in an entry's subset, over all pools.
const SUBSET_SIZE: usize = 225;
/// Fewest backend servers of a pool in an entry's subset.
const POOL_SUBSET_MIN: usize = 16;
/// Peers from which a starting entry pulls the table and hosts in each round.
pub const JOIN_PEERS: usize = 3;
/// Shortest interval between two heartbeats to one agent.
const HEARTBEAT_INTERVAL_MIN: Duration = Duration::from_millis(500);
/// Heartbeats that an entry sends per second, over all agents.
const HEARTBEATS_PER_S: u32 = 20;
/// Time without a reply after which an agent counts as lost.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(3);

/// A backend server and its agent.
#[derive(Clone, Debug)]
pub struct Member {
    /// The host.
    pub host: Host,
    /// The agent's incarnation; 0 before its first frame.
    pub incarnation: u64,
    /// When the last frame from the agent arrived.
    pub last_frame: Option<Duration>,
    /// When the last heartbeat was sent; `None` makes one due.
    pub last_heartbeat: Option<Duration>,
    /// When the earliest message still without a reply was sent.
    pub awaiting_reply_since: Option<Duration>,
}

/// All backend servers that this entry can send requests to.
#[derive(Clone, Debug, Default)]
pub struct Members {
    entry: Name,
    members: HashMap<Name, Member>,
    pools: HashMap<Name, Vec<Name>>,
    /// Load reports and requests in flight.
    pub tracker: Tracker,
}

impl Members {
    /// Creates an empty set for the entry of this name.
    pub fn new(entry: Name) -> Members {
        Members { entry, ..Members::default() }
    }

    /// Applies a host list and keeps the state of members whose link is the same.
    /// Returns the links of removed agents.
    pub fn update(&mut self, hosts: &[Host]) -> Vec<Name> {
        let mut by_pool: HashMap<Name, Vec<Host>> = HashMap::new();
        for host in hosts {
            if let (Role::Server, Some(pool)) = (host.role, host.pool.clone()) {
                by_pool.entry(pool).or_default().push(host.clone());
            }
        }
        let total: usize = by_pool.values().map(Vec::len).sum();
        let mut kept = HashMap::new();
        self.pools.clear();
        for (pool, hosts) in by_pool {
            let names: Vec<Name> = hosts.iter().map(|host| host.name.clone()).collect();
            let mut chosen = subset::pick(&self.entry, &names, subset_size(names.len(), total));
            chosen.sort();
            for host in hosts {
                if chosen.binary_search(&host.name).is_ok() {
                    let member = self.carry_over(host);
                    kept.insert(member.host.name.clone(), member);
                }
            }
            self.pools.insert(pool, chosen);
        }
        let removed = std::mem::replace(&mut self.members, kept);
        for name in removed.keys() {
            self.tracker.remove(name);
        }
        removed.into_values().map(|member| member.host.link).collect()
    }

    fn carry_over(&mut self, host: Host) -> Member {
        let new_member = Member {
            host: host.clone(),
            incarnation: 0,
            last_frame: None,
            last_heartbeat: None,
            awaiting_reply_since: None,
        };
        match self.members.remove(&host.name) {
            Some(existing) if existing.host.link == host.link => Member { host, ..existing },
            _ => new_member,
        }
    }

    /// Records the arrival of a frame. Returns whether the agent has restarted, or
    /// `None` for a frame of an earlier incarnation, which must be ignored.
    pub fn record_frame(&mut self, now: Duration, sender: &Sender) -> Option<bool> {
        let Some(member) = self.members.get_mut(&sender.name) else { return Some(false) };
        // A later process may have a lower incarnation if the host's clock was set back;
        // the earlier one is silent then.
        let is_lost = member.last_frame.is_none_or(|last| now >= last + REPLY_TIMEOUT);
        if sender.incarnation < member.incarnation && !is_lost {
            return None;
        }
        let restarted = member.incarnation != 0 && sender.incarnation != member.incarnation;
        member.incarnation = sender.incarnation;
        member.last_frame = Some(now);
        member.awaiting_reply_since = None;
        Some(restarted)
    }

    /// Applies an agent's load report.
    pub fn observe(&mut self, now: Duration, server: &Name, report: Report) {
        self.tracker.observe(now, server, report);
    }

    /// The member of this name.
    pub fn member(&self, server: &str) -> Option<&Member> {
        self.members.get(server)
    }

    /// Starts the reply timeout of an agent unless it is running already.
    pub fn expect_reply(&mut self, now: Duration, server: &str) {
        if let Some(member) = self.members.get_mut(server) {
            member.awaiting_reply_since.get_or_insert(now);
        }
    }

    /// The members of a pool that may be sent requests.
    pub fn eligible(&self, now: Duration, table: &Table, pool: &str) -> Vec<&Member> {
        let Some(names) = self.pools.get(pool) else { return Vec::new() };
        let members = names.iter().filter_map(|name| self.members.get(name));
        members.filter(|member| self.is_eligible(now, table, member)).collect()
    }

    fn is_eligible(&self, now: Duration, table: &Table, member: &Member) -> bool {
        let host = &member.host;
        let leaving = self.view(now, &host.name).report.is_some_and(|report| report.leaving);
        host.state == State::Live && !is_out(table, host) && !leaving && !is_lost(now, member)
    }

    /// The estimated load of a backend server.
    pub fn view(&self, now: Duration, server: &str) -> View {
        self.tracker.view(now, server)
    }

    /// The backend servers taken out of service, alone or with their zone.
    pub fn out_of_service(&self, table: &Table) -> BTreeSet<Name> {
        let hosts = self.members.values().map(|member| &member.host);
        let out = hosts.filter(|host| is_out(table, host));
        out.map(|host| host.name.clone()).collect()
    }

    /// Makes an agent's heartbeat due, to announce a new revision without delay.
    pub fn expedite_heartbeat(&mut self, server: &str) {
        if let Some(member) = self.members.get_mut(server) {
            member.last_heartbeat = None;
        }
    }

    /// Returns the links of agents with a due heartbeat and marks it as sent. The
    /// interval grows with the number of agents, which bounds an entry's traffic.
    pub fn take_due_heartbeats(&mut self, now: Duration) -> Vec<Name> {
        let spread = Duration::from_secs(1) * self.members.len() as u32 / HEARTBEATS_PER_S;
        let interval = spread.max(HEARTBEAT_INTERVAL_MIN);
        let mut links = Vec::new();
        for member in self.members.values_mut() {
            let due = member
                .last_heartbeat
                .is_none_or(|last_heartbeat| now.saturating_sub(last_heartbeat) >= interval);
            if due {
                member.last_heartbeat = Some(now);
                member.awaiting_reply_since.get_or_insert(now);
                links.push(member.host.link.clone());
            }
        }
        links.sort();
        links
    }

    /// The number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The members, in the order of their names.
    pub fn sorted(&self) -> Vec<&Member> {
        let mut members: Vec<&Member> = self.members.values().collect();
        members.sort_by(|a, b| a.host.name.cmp(&b.host.name));
        members
    }
}

fn is_out(table: &Table, host: &Host) -> bool {
    table.is_zone_out(&host.zone) || table.is_server_out(&host.name)
}

/// Number of backend servers of a pool in an entry's subset, in proportion to the
/// pool's share of all backend servers.
fn subset_size(pool: usize, total: usize) -> usize {
    if total <= SUBSET_SIZE {
        return pool;
    }
    (SUBSET_SIZE * pool).div_ceil(total).max(POOL_SUBSET_MIN)
}

/// Whether an agent has not replied within [`REPLY_TIMEOUT`].
pub fn is_lost(now: Duration, member: &Member) -> bool {
    member.awaiting_reply_since.is_some_and(|since| now.saturating_sub(since) > REPLY_TIMEOUT)
}
