//! The backend servers that an entry knows, pool by pool.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tables::host::{Role, State};
use tables::{Host, Name, Table};
use wire::{Report, Sender};

use crate::report::{Book, View};
use crate::subset;

/// Backend servers that one entry keeps, over all pools.
const SUBSET: usize = 225;
/// Backend servers that one entry keeps of a pool at least.
const POOL_MIN: usize = 16;
/// Entries that an entry asks at a time for tables and hosts when it starts.
pub const JOIN_PEERS: usize = 3;
/// Least time between two heartbeats to one agent.
const HEARTBEAT_MIN: Duration = Duration::from_millis(500);
/// Heartbeats that an entry sends in a second, over all agents.
const HEARTBEAT_RATE: u32 = 20;
/// Silence after which an agent is taken for lost.
pub const LOST_AFTER: Duration = Duration::from_secs(3);

/// A backend server and its agent.
#[derive(Clone, Debug)]
pub struct Member {
    /// The host.
    pub host: Host,
    /// The agent's incarnation, 0 until it was heard.
    pub incarnation: u64,
    /// When the agent was last heard.
    pub heard: Option<Duration>,
    /// When the agent was last sent a heartbeat.
    pub beat: Option<Duration>,
    /// When the first heartbeat since it was last heard was sent.
    pub waiting: Option<Duration>,
}

/// All backend servers that this entry may choose.
#[derive(Clone, Debug, Default)]
pub struct Members {
    entry: Name,
    members: HashMap<Name, Member>,
    pools: HashMap<Name, Vec<Name>>,
    /// Reports and requests in flight.
    pub book: Book,
}

impl Members {
    /// No backend servers yet, for the entry of this name.
    pub fn new(entry: Name) -> Members {
        Members { entry, ..Members::default() }
    }

    /// Takes in a host list. What is known of hosts that stay is kept.
    /// Returns the links of agents that are gone.
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
            let mut chosen = subset::pick(&self.entry, &names, share(names.len(), total));
            chosen.sort();
            for host in hosts {
                if chosen.binary_search(&host.name).is_ok() {
                    let member = self.keep(host);
                    kept.insert(member.host.name.clone(), member);
                }
            }
            self.pools.insert(pool, chosen);
        }
        let gone = std::mem::replace(&mut self.members, kept);
        for name in gone.keys() {
            self.book.forget(name);
        }
        gone.into_values().map(|member| member.host.link).collect()
    }

    fn keep(&mut self, host: Host) -> Member {
        let fresh =
            Member { host: host.clone(), incarnation: 0, heard: None, beat: None, waiting: None };
        match self.members.remove(&host.name) {
            Some(known) if known.host.link == host.link => Member { host, ..known },
            _ => fresh,
        }
    }

    /// Notes that an agent was heard. Returns whether it has started anew, and
    /// `None` for a frame of an earlier incarnation, which is to be ignored.
    pub fn hear(&mut self, now: Duration, sender: &Sender) -> Option<bool> {
        let Some(member) = self.members.get_mut(&sender.name) else { return Some(false) };
        if sender.incarnation < member.incarnation {
            return None;
        }
        let restarted = member.incarnation != 0 && sender.incarnation > member.incarnation;
        member.incarnation = sender.incarnation;
        member.heard = Some(now);
        member.waiting = None;
        Some(restarted)
    }

    /// Takes in an agent's report.
    pub fn observe(&mut self, now: Duration, server: &Name, report: Report) {
        self.book.observe(now, server, report);
    }

    /// The member of this name.
    pub fn member(&self, server: &str) -> Option<&Member> {
        self.members.get(server)
    }

    /// Notes that an agent owes an answer from now on.
    pub fn expect(&mut self, now: Duration, server: &str) {
        if let Some(member) = self.members.get_mut(server) {
            member.waiting.get_or_insert(now);
        }
    }

    /// The members of a pool that may be sent work now.
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

    /// What is known of a backend server's load.
    pub fn view(&self, now: Duration, server: &str) -> View {
        self.book.view(now, server)
    }

    /// The backend servers that operators took out, with their zone or alone.
    pub fn out(&self, table: &Table) -> BTreeSet<Name> {
        let hosts = self.members.values().map(|member| &member.host);
        let out = hosts.filter(|host| is_out(table, host));
        out.map(|host| host.name.clone()).collect()
    }

    /// Makes an agent's heartbeat due, so that it soon sees a new revision.
    pub fn hasten(&mut self, server: &str) {
        if let Some(member) = self.members.get_mut(server) {
            member.beat = None;
        }
    }

    /// The agents that are due a heartbeat. The interval grows with their
    /// number, so that an entry's cost stays the same.
    pub fn due(&mut self, now: Duration) -> Vec<Name> {
        let spread = Duration::from_secs(1) * self.members.len() as u32 / HEARTBEAT_RATE;
        let interval = spread.max(HEARTBEAT_MIN);
        let mut links = Vec::new();
        for member in self.members.values_mut() {
            let due = member.beat.is_none_or(|beat| now.saturating_sub(beat) >= interval);
            if due {
                member.beat = Some(now);
                member.waiting.get_or_insert(now);
                links.push(member.host.link.clone());
            }
        }
        links.sort();
        links
    }

    /// The number of backend servers known.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no backend server is known.
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

/// How many backend servers of a pool an entry keeps, by the pool's size.
fn share(pool: usize, total: usize) -> usize {
    if total <= SUBSET {
        return pool;
    }
    (SUBSET * pool).div_ceil(total).max(POOL_MIN)
}

/// Whether an agent has been silent too long after it was sent a heartbeat.
pub fn is_lost(now: Duration, member: &Member) -> bool {
    member.waiting.is_some_and(|since| now.saturating_sub(since) > LOST_AFTER)
}
