//! A deterministic simulation of the production state machines: entries and
//! agents, with fakes of the network, the platform and the backend servers, all
//! in simulated time.
//!
//! The simulation makes no product decisions: it delivers messages and injects
//! faults.

pub mod caller;
pub mod check;
pub mod event;
pub mod health;
pub mod network;
pub mod platform;
pub mod process;
pub mod script;
pub mod server;
pub mod step;
pub mod walk;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agent::State;
use bytes::Bytes;
use lab::platform::Settings;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::{Router, Submission};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tables::host::Role;
use tables::{Host, Name, PoolKind};
use uuid::Uuid;
use wire::Class;

use caller::{Caller, End};
use check::Journal;
use health::Health;
use network::Network;
use platform::Platform;
use server::Server;

/// Bearer key that all callers use.
const BEARER: &str = "key";

/// A simulated entry process.
pub struct Entry {
    router: Router,
    started: Duration,
    incarnation: u64,
    watched_revision: Option<u64>,
    last_watch: Duration,
    /// Whether the entry cannot reach the platform.
    isolated: bool,
    frozen: bool,
    inbox: Vec<routing::Input>,
    /// Whether the process has drained after a stop request.
    pub drained: bool,
}

/// A simulated agent process and its backend server.
pub struct Agent {
    state: State,
    started: Duration,
    incarnation: u64,
    frozen: bool,
    inbox: Vec<agent::Input>,
    last_check: Duration,
    /// The backend server.
    pub server: Server,
    zone: Name,
    pool: Name,
    stopping: bool,
    /// Whether the process has drained after a stop request.
    pub drained: bool,
}

/// An input, such as a platform reply, that is scheduled for an agent.
struct ScheduledInput {
    at: Duration,
    agent: Name,
    incarnation: u64,
    input: agent::Input,
}

/// The simulated system.
pub struct World {
    /// Simulated time since the start.
    pub now: Duration,
    rng: ChaCha8Rng,
    seed: u64,
    entries: BTreeMap<Name, Option<Entry>>,
    agents: BTreeMap<Name, Option<Agent>>,
    dead_servers: BTreeMap<Name, Server>,
    hosts: BTreeMap<Name, Host>,
    unlisted: BTreeSet<Name>,
    health: Health,
    /// The simulated network.
    pub network: Network,
    /// The simulated platform.
    pub platform: Platform,
    scheduled: Vec<ScheduledInput>,
    /// The callers by request name.
    pub callers: BTreeMap<String, Caller>,
    /// Recorded events, for the invariant checks.
    pub journal: Journal,
    starts: u64,
    request_count: u128,
    /// Number of requests in progress at processes that were stopped while no
    /// fault was active.
    pub graceful: usize,
    /// Whether processes exit once they have drained.
    pub exit_when_drained: bool,
    /// Whether to print all inputs, for debugging a seed.
    pub verbose: bool,
}

fn link(name: &str) -> Name {
    format!("tcp://{name}").into()
}

fn tables() -> BTreeMap<Name, BTreeMap<Name, Value>> {
    let hash = format!("{:x}", Sha256::digest(BEARER.as_bytes()));
    let tables = json!({
        "route": {
            "chat": {"path": "/chat", "pools": ["chat"], "idempotent": true, "timeout_ms": 20_000},
            "book": {"path": "/book", "pools": ["book"], "idempotent": false, "timeout_ms": 8_000},
            "race": {"path": "/race-000", "pools": ["book"], "idempotent": true, "timeout_ms": 8_000},
            "free": {"path": "/free", "pools": ["book"], "idempotent": true, "timeout_ms": 8_000},
        },
        "pool": {
            "chat": {"kind": "model", "limit": 8},
            "book": {"kind": "service", "limit": 8},
        },
        "account": {"fitters": {"key_sha256": hash, "weight": 1}},
    });
    serde_json::from_value(tables).expect("tables by kind and name")
}

impl World {
    /// Starts the given entries, and agents given as name, zone and pool.
    pub fn new(seed: u64, entries: &[&str], agents: &[(&str, &str, &str)]) -> World {
        let mut hosts = BTreeMap::new();
        for name in entries {
            hosts.insert((*name).into(), host(name, Role::Entry, "z1", None));
        }
        for (name, zone, pool) in agents {
            hosts.insert((*name).into(), host(name, Role::Server, zone, Some(pool)));
        }
        let settings = Settings {
            objects: tables(),
            hosts: hosts.values().cloned().collect(),
            ..Settings::default()
        };
        let mut world = World {
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            seed,
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            dead_servers: BTreeMap::new(),
            hosts,
            unlisted: BTreeSet::new(),
            health: Health::default(),
            network: Network::default(),
            platform: Platform::new(&settings),
            scheduled: Vec::new(),
            callers: BTreeMap::new(),
            journal: Journal::default(),
            starts: 0,
            request_count: 0,
            graceful: 0,
            exit_when_drained: false,
            verbose: std::env::var_os("VERBOSE").is_some(),
        };
        for name in entries {
            world.start_entry(&(*name).into());
        }
        for (name, _, _) in agents {
            world.start_agent(&(*name).into());
        }
        world
    }

    /// A running agent.
    pub fn agent(&self, name: &str) -> Option<&Agent> {
        self.agents.get(name)?.as_ref()
    }

    /// A running agent, mutable.
    pub fn agent_mut(&mut self, name: &str) -> Option<&mut Agent> {
        self.agents.get_mut(name)?.as_mut()
    }

    /// A running entry.
    pub fn entry(&self, name: &str) -> Option<&Entry> {
        self.entries.get(name)?.as_ref()
    }

    /// The backend server of a host, also while its agent is down.
    pub fn server(&self, name: &str) -> Option<&Server> {
        self.agent(name).map(|agent| &agent.server).or_else(|| self.dead_servers.get(name))
    }

    /// The table revision that a process has applied.
    pub fn revision(&self, name: &str) -> Option<u64> {
        let entry = self.entry(name).map(|entry| entry.router.revision());
        entry.or_else(|| self.agent(name).map(|agent| agent.state.revision()))
    }

    /// Sends a request as a new caller; the request name must be unused.
    pub fn send(&mut self, request: &str, entry: &str, route: &str, key: Option<&str>, body: &str) {
        self.send_within(request, entry, route, key, body, None);
    }

    /// Sends a request with a timeout set by the caller.
    pub fn send_within(
        &mut self,
        request: &str,
        entry: &str,
        route: &str,
        key: Option<&str>,
        body: &str,
        timeout: Option<Duration>,
    ) {
        self.request_count += 1;
        let id = Uuid::from_u128(self.request_count << 64 | u128::from(self.seed as u32));
        if self.verbose {
            println!("{:?} {request} is {id}", self.now);
        }
        let submission = Submission {
            id,
            bearer: Some(BEARER.to_owned()),
            method: "POST".into(),
            path: format!("/{route}").into(),
            model: None,
            headers: Vec::new(),
            key: key.map(Name::from),
            class: Class::Interactive,
            timeout,
            body: Bytes::from(body.as_bytes().to_vec()),
        };
        let caller = Caller {
            id,
            entry: entry.into(),
            key: key.map(Name::from),
            kind: if route == "chat" { PoolKind::Model } else { PoolKind::Service },
            idempotent: route != "book",
            body: body.as_bytes().to_vec(),
            sent: self.now,
            status: None,
            data: Vec::new(),
            end: None,
            matches_expected: false,
        };
        self.callers.insert(request.to_owned(), caller);
        let name = Name::from(entry);
        if self.entry(entry).is_none() {
            if let Some(caller) = self.callers.get_mut(request) {
                caller.end = Some(End::Aborted);
            }
            return;
        }
        self.step_entry(&name, routing::Input::Submit(submission));
    }
}

fn host(name: &str, role: Role, zone: &str, pool: Option<&str>) -> Host {
    Host {
        name: name.into(),
        role,
        zone: zone.into(),
        link: link(name),
        pool: pool.map(Name::from),
        state: tables::host::State::Live,
    }
}
