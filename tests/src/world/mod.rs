//! A small world of the shipping state machines: entries, agents, and fakes of
//! the network, the platform and the backend servers, all in fake time.
//!
//! Nothing here decides anything that the product decides; it only carries
//! messages, and breaks things when told to.

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

/// Bearer key of all callers.
const BEARER: &str = "key";

/// An entry's process.
pub struct Entry {
    router: Router,
    started: Duration,
    incarnation: u64,
    watched: Option<u64>,
    looked: Duration,
    /// Whether the platform can't be seen from here.
    blind: bool,
    frozen: bool,
    inbox: Vec<routing::Input>,
    /// Whether it has been told to stop, and has drained.
    pub drained: bool,
}

/// An agent's process, and the server beside it.
pub struct Agent {
    state: State,
    started: Duration,
    incarnation: u64,
    frozen: bool,
    inbox: Vec<agent::Input>,
    checked: Duration,
    /// The backend server.
    pub server: Server,
    zone: Name,
    pool: Name,
    told: bool,
    /// Whether it has been told to stop, and has drained.
    pub drained: bool,
}

/// A reply of the platform on its way to an agent.
struct Call {
    at: Duration,
    agent: Name,
    incarnation: u64,
    input: agent::Input,
}

/// The world.
pub struct World {
    /// The time since the beginning.
    pub now: Duration,
    rng: ChaCha8Rng,
    seed: u64,
    entries: BTreeMap<Name, Option<Entry>>,
    agents: BTreeMap<Name, Option<Agent>>,
    dead_servers: BTreeMap<Name, Server>,
    hosts: BTreeMap<Name, Host>,
    unlisted: BTreeSet<Name>,
    health: Health,
    /// The network.
    pub network: Network,
    /// The platform.
    pub platform: Platform,
    calls: Vec<Call>,
    /// The callers by the names of their requests.
    pub callers: BTreeMap<String, Caller>,
    /// What happened, for the checks.
    pub journal: Journal,
    starts: u64,
    asked: u128,
    /// Requests in progress at processes that were told to stop while nothing
    /// was broken.
    pub graceful: usize,
    /// Whether processes that have drained end.
    pub exits: bool,
    /// Whether to print all inputs, for a replay.
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
    /// A world with these entries, and with agents by name, zone and pool.
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
            calls: Vec::new(),
            callers: BTreeMap::new(),
            journal: Journal::default(),
            starts: 0,
            asked: 0,
            graceful: 0,
            exits: false,
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

    /// A running agent, to be changed.
    pub fn agent_mut(&mut self, name: &str) -> Option<&mut Agent> {
        self.agents.get_mut(name)?.as_mut()
    }

    /// A running entry.
    pub fn entry(&self, name: &str) -> Option<&Entry> {
        self.entries.get(name)?.as_ref()
    }

    /// The server of a host, whether its agent runs or not.
    pub fn server(&self, name: &str) -> Option<&Server> {
        self.agent(name).map(|agent| &agent.server).or_else(|| self.dead_servers.get(name))
    }

    /// The revision of a process's table.
    pub fn revision(&self, name: &str) -> Option<u64> {
        let entry = self.entry(name).map(|entry| entry.router.revision());
        entry.or_else(|| self.agent(name).map(|agent| agent.state.revision()))
    }

    /// A caller sends a request under a name that no request had before.
    pub fn send(&mut self, request: &str, entry: &str, route: &str, key: Option<&str>, body: &str) {
        self.send_within(request, entry, route, key, body, None);
    }

    /// A caller sends a request that has a time limit of its own.
    pub fn send_within(
        &mut self,
        request: &str,
        entry: &str,
        route: &str,
        key: Option<&str>,
        body: &str,
        timeout: Option<Duration>,
    ) {
        self.asked += 1;
        let id = Uuid::from_u128(self.asked << 64 | u128::from(self.seed as u32));
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
            whole: false,
        };
        self.callers.insert(request.to_owned(), caller);
        let name = Name::from(entry);
        if self.entry(entry).is_none() {
            if let Some(caller) = self.callers.get_mut(request) {
                caller.end = Some(End::Cut);
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
