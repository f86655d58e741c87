//! A summary of what is in service.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;
use tables::host::{Role, State};
use tables::{Body, Kind, Name};

use crate::{Present, Process};

/// A summary of the tables, the hosts and the queried processes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Status {
    /// The platform revision at which the tables were read.
    pub revision: u64,
    /// Number of routes.
    pub routes: usize,
    /// Number of pools.
    pub pools: usize,
    /// Number of client accounts.
    pub accounts: usize,
    /// The availability zones.
    pub zones: Vec<ZoneStatus>,
    /// Backend servers that operators took out of service.
    pub servers_out: Vec<Name>,
    /// The queried processes with the revisions that they have in force.
    pub processes: Vec<Process>,
}

/// An availability zone and its hosts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ZoneStatus {
    /// Name of the availability zone.
    pub name: Name,
    /// Whether operators took the zone out of service.
    pub out: bool,
    /// Number of live entry hosts.
    pub entries: usize,
    /// Number of live backend servers.
    pub servers: usize,
    /// Number of leaving hosts of any role.
    pub leaving: usize,
}

impl Status {
    /// Summarizes the current tables and hosts.
    ///
    /// ```
    /// let status = operator::Status::new(&operator::Present::default(), vec![]);
    /// assert!(status.zones.is_empty());
    /// ```
    pub fn new(present: &Present, processes: Vec<Process>) -> Status {
        let count = |kind| present.of_kind(kind).count();
        Status {
            revision: present.revision,
            routes: count(Kind::Route),
            pools: count(Kind::Pool),
            accounts: count(Kind::Account),
            zones: present.zones().into_iter().map(|name| zone(present, name)).collect(),
            servers_out: servers_out(present),
            processes,
        }
    }
}

fn zone(present: &Present, name: Name) -> ZoneStatus {
    let count = |role, state| {
        let is_match = |host: &&tables::Host| {
            host.zone == name && host.state == state && role == Some(host.role)
        };
        present.hosts.iter().filter(is_match).count()
    };
    let is_leaving = |host: &&tables::Host| host.zone == name && host.state == State::Leaving;
    let key = tables::Key { kind: Kind::Zone, name: name.clone() };
    let out = matches!(present.content().get(&key), Some(Body::Zone(zone)) if zone.out);
    ZoneStatus {
        out,
        entries: count(Some(Role::Entry), State::Live),
        servers: count(Some(Role::Server), State::Live),
        leaving: present.hosts.iter().filter(is_leaving).count(),
        name,
    }
}

fn servers_out(present: &Present) -> Vec<Name> {
    let out = |(key, body): (tables::Key, Body)| match body {
        Body::Server(server) if server.out => Some(key.name),
        _ => None,
    };
    present.content().into_iter().filter_map(out).collect()
}

impl Display for Status {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Status { revision, routes, pools, accounts, .. } = self;
        writeln!(f, "revision {revision}: {routes} routes, {pools} pools, {accounts} accounts")?;
        for zone in &self.zones {
            let state = if zone.out { "out" } else { "in service" };
            let ZoneStatus { name, entries, servers, leaving, .. } = zone;
            writeln!(
                f,
                "zone {name}: {state}, {entries} entry hosts, {servers} backend servers, {leaving} leaving"
            )?;
        }
        for server in &self.servers_out {
            writeln!(f, "server {server}: out")?;
        }
        for Process { address, revision } in &self.processes {
            match revision {
                Some(revision) => writeln!(f, "process {address}: at revision {revision}")?,
                None => writeln!(f, "process {address}: did not answer")?,
            }
        }
        Ok(())
    }
}
