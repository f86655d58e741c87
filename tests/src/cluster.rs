//! A small system on loopback: the daemons as real processes, and stand-ins for
//! the platform and the backend servers in the test process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

use ::platform::{Client, Expect};
use lab::{engine, platform, service};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tables::host::{Role, State};
use tables::{Host, Name};

use crate::port;
use crate::process::Process;

/// Bearer key of the accounts' only caller.
pub const KEY: &str = "secret-of-the-fitters";
/// Longest wait for the system to be ready.
const READY_LIMIT: Duration = Duration::from_secs(90);

/// Most concurrent clusters of one test process, so that results don't depend
/// on the size of the machine.
const CLUSTER_LIMIT: usize = 3;
/// Longest wait for a reply of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of running clusters.
static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// A permit to run one of the concurrent clusters.
struct Permit;

impl Permit {
    fn acquire() -> Permit {
        let mut running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        while *running >= CLUSTER_LIMIT {
            running = ENDED.wait(running).unwrap_or_else(PoisonError::into_inner);
        }
        *running += 1;
        Permit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

/// An entry daemon and its addresses.
pub struct Entry {
    /// The process.
    pub process: Process,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub operations: SocketAddr,
    /// Address for frames between daemons.
    pub link: Name,
    settings: Value,
}

/// An agent daemon and its addresses.
pub struct Agent {
    /// The process.
    pub process: Process,
    /// Its availability zone.
    pub zone: &'static str,
    /// Address for operators.
    pub operations: SocketAddr,
    /// Address for frames between daemons.
    pub link: Name,
    settings: Value,
}

/// A running system.
pub struct Cluster {
    /// The stand-in for the platform.
    pub platform: platform::Handle,
    /// The stand-in engines by backend server name.
    pub engines: BTreeMap<&'static str, lab::Handle>,
    /// The stand-in services by backend server name.
    pub services: BTreeMap<&'static str, service::Service>,
    /// The entries by name.
    pub entries: BTreeMap<&'static str, Entry>,
    /// The agents by name.
    pub agents: BTreeMap<&'static str, Agent>,
    // The last field, so that the permit is released after all processes ended.
    _permit: Permit,
}

/// The components of a cluster and their settings.
#[derive(Clone)]
pub struct Plan {
    /// Names of the entries.
    pub entries: Vec<&'static str>,
    /// Names and availability zones of the model engines.
    pub engines: Vec<(&'static str, &'static str)>,
    /// Names and availability zones of the plain services.
    pub services: Vec<(&'static str, &'static str)>,
    /// Settings of the engines.
    pub engine: engine::Settings,
    /// Settings of the services.
    pub service: service::Settings,
    /// Settings of the platform.
    pub platform: platform::Settings,
    /// Time that a stopping entry gives its open requests.
    pub drain: Duration,
    /// Base URLs that agents use in place of those of the stand-ins, by backend server.
    pub backends: BTreeMap<&'static str, String>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            entries: vec!["entry-1"],
            engines: vec![("engine-1", "accra-1")],
            services: vec![("service-1", "accra-1")],
            engine: engine::Settings::default(),
            service: service::Settings::default(),
            platform: platform::Settings::default(),
            drain: Duration::from_secs(20),
            backends: BTreeMap::new(),
        }
    }
}

impl Plan {
    /// Two entries, with two engines and two services in two availability
    /// zones. A booking takes `booking`.
    pub fn pairs(booking: Duration) -> Plan {
        Plan {
            entries: vec!["entry-1", "entry-2"],
            engines: vec![("engine-1", "accra-1"), ("engine-2", "accra-2")],
            services: vec![("service-1", "accra-1"), ("service-2", "accra-2")],
            service: service::Settings { delay: booking, ..Default::default() },
            ..Plan::default()
        }
    }
}

impl Cluster {
    /// Starts all components and waits until all daemons are ready.
    pub async fn start(plan: Plan) -> Cluster {
        let permit = Permit::acquire();
        let links: BTreeMap<&str, Name> =
            names(&plan).into_iter().map(|name| (name, link(port::free()))).collect();
        let mut settings = plan.platform.clone();
        settings.objects = tables();
        settings.hosts = hosts(&plan, &links);
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = platform::serve(listen, settings).expect("the platform starts");
        let mut cluster = Cluster {
            platform,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            _permit: permit,
        };
        let entry_links: Vec<Name> = plan.entries.iter().map(|name| links[name].clone()).collect();
        for name in &plan.entries {
            cluster.add_entry(name, &links[name], &entry_links, plan.drain);
        }
        let backend = |name: &str, url: String| plan.backends.get(name).cloned().unwrap_or(url);
        for (name, zone) in &plan.engines {
            let handle = engine::serve(plan.engine.clone()).expect("an engine starts");
            cluster.add_agent(
                name,
                zone,
                "chat",
                "model",
                &backend(name, handle.to_url()),
                &links[name],
                &entry_links,
            );
            cluster.engines.insert(name, handle);
        }
        for (name, zone) in &plan.services {
            let handle = service::serve(plan.service.clone()).expect("a service starts");
            cluster.add_agent(
                name,
                zone,
                "booking",
                "service",
                &backend(name, handle.handle.to_url()),
                &links[name],
                &entry_links,
            );
            cluster.services.insert(name, handle);
        }
        cluster.wait_until_ready().await;
        cluster
    }

    /// The URL at which an entry serves callers.
    pub fn url(&self, entry: &str) -> String {
        format!("http://{}", self.entries[entry].listen)
    }

    /// Restarts an entry that was killed or has stopped.
    pub fn restart_entry(&mut self, name: &'static str) {
        let Some(entry) = self.entries.get_mut(name) else { panic!("no entry {name}") };
        entry.process = Process::start(&["wisteria-entry"], name, &entry.settings);
    }

    /// Restarts an agent that was killed or has stopped.
    pub fn restart_agent(&mut self, name: &'static str) {
        let Some(agent) = self.agents.get_mut(name) else { panic!("no agent {name}") };
        agent.process = Process::start(&["wisteria-agent"], name, &agent.settings);
    }

    /// Writes an object to the platform, replacing an existing one, and returns
    /// the accepted version.
    pub async fn put(&self, kind: &str, name: &str, value: Value) -> u64 {
        let client = Client::new(vec![self.platform.url()], PLATFORM_TIMEOUT);
        let present = client.get(kind, name).await.expect("the platform answers a read");
        let expect = Expect::of(present.as_ref());
        client.put(kind, name, expect, &value).await.expect("the platform accepts a write")
    }

    /// Number of executions of a key, over all services.
    pub fn runs(&self, key: &str) -> u64 {
        self.services.values().filter_map(|service| service.runs().get(key).copied()).sum()
    }

    /// Waits until an entry has forwarded at least `events` events on each of
    /// `streams` open streams, and returns the backend server of one of them.
    pub async fn wait_for_events(&self, entry: &str, streams: usize, events: u64) -> String {
        let operations = self.entries[entry].operations;
        wait_for("open streams", || async {
            let dump = dump(operations).await?;
            let requests = dump["requests"].as_array()?;
            let open: Vec<&Value> = requests
                .iter()
                .filter(|request| request["events"].as_u64().is_some_and(|seen| seen >= events))
                .collect();
            let server = open.first()?["server"].as_str()?;
            (open.len() >= streams).then(|| server.to_owned())
        })
        .await
    }

    /// Waits until all daemons have applied a configuration revision.
    pub async fn wait_for_revision(&self, version: u64) {
        let entries = self.entries.values().map(|entry| entry.operations);
        let agents = self.agents.values().map(|agent| agent.operations);
        for operations in entries.chain(agents) {
            wait_for("configuration in force", || async {
                let revision = dump(operations).await?["revision"].as_u64()?;
                (revision >= version).then_some(())
            })
            .await;
        }
    }

    /// The value of a counter of an agent's gate.
    pub async fn counter(&self, agent: &str, name: &str) -> u64 {
        let operations = self.agents[agent].operations;
        wait_for("an agent's counter", || async {
            dump(operations).await?["gate"]["counters"][name].as_u64()
        })
        .await
    }

    /// Waits until each daemon is ready and each entry has each agent's current
    /// report. The report that an entry has may be older than the agent's tables,
    /// and so be wrong on whether the agent accepts work.
    pub async fn wait_until_ready(&self) {
        for entry in self.entries.values() {
            wait_for_ready(entry.operations).await;
        }
        for agent in self.agents.values() {
            wait_for_ready(agent.operations).await;
        }
        for (name, agent) in &self.agents {
            let state = dump(agent.operations).await.expect("a ready agent answers");
            let closed = state["out"] == true || state["gate"]["leaving"] == true;
            for entry in self.entries.values() {
                wait_for("the agent's present report", || async {
                    let dump = dump(entry.operations).await?;
                    let mut members = dump["members"].as_array()?.iter();
                    let member = members.find(|member| member["server"] == *name)?;
                    let current = member["incarnation"] == state["incarnation"];
                    (current && member["report"]["leaving"] == closed).then_some(())
                })
                .await;
            }
        }
    }

    fn add_entry(&mut self, name: &'static str, link: &Name, peers: &[Name], drain: Duration) {
        let (listen, operations) = (port::free(), port::free());
        let settings = json!({
            "name": name, "zone": "accra-1", "listen": listen, "operations": operations,
            "link": link, "peers": peers, "platform": [self.platform.url()],
            "watch": {"interval_ms": 200, "hosts_interval_ms": 500, "backoff_max_ms": 500},
            "linger_ms": 200, "drain_ms": drain.as_millis() as u64,
        });
        let process = Process::start(&["wisteria-entry"], name, &settings);
        self.entries
            .insert(name, Entry { process, listen, operations, link: link.clone(), settings });
    }

    #[allow(clippy::too_many_arguments)]
    fn add_agent(
        &mut self,
        name: &'static str,
        zone: &'static str,
        pool: &str,
        kind: &str,
        backend: &str,
        link: &Name,
        peers: &[Name],
    ) {
        let operations = port::free();
        let settings = json!({
            "name": name, "zone": zone, "pool": pool, "kind": kind,
            "backend": backend, "operations": operations, "link": link,
            "peers": peers, "platform": [self.platform.url()], "check_ms": 100,
            "platform_timeout_ms": 500, "drain_ms": 20_000,
        });
        let process = Process::start(&["wisteria-agent"], name, &settings);
        self.agents.insert(name, Agent { process, zone, operations, link: link.clone(), settings });
    }
}

fn names(plan: &Plan) -> Vec<&'static str> {
    let servers = plan.engines.iter().chain(&plan.services).map(|(name, _)| *name);
    plan.entries.iter().copied().chain(servers).collect()
}

fn link(address: SocketAddr) -> Name {
    format!("tcp://{address}").into()
}

fn hosts(plan: &Plan, links: &BTreeMap<&str, Name>) -> Vec<Host> {
    let host = |name: &str, role, zone: &str, pool: Option<&str>| Host {
        name: name.into(),
        role,
        zone: zone.into(),
        link: links[name].clone(),
        pool: pool.map(Name::from),
        state: State::Live,
    };
    let entries = plan.entries.iter().map(|name| host(name, Role::Entry, "accra-1", None));
    let engines =
        plan.engines.iter().map(|(name, zone)| host(name, Role::Server, zone, Some("chat")));
    let services =
        plan.services.iter().map(|(name, zone)| host(name, Role::Server, zone, Some("booking")));
    entries.chain(engines).chain(services).collect()
}

/// The tables: routes for chats, bookings and lookups, and their pools.
fn tables() -> BTreeMap<Name, BTreeMap<Name, Value>> {
    let hash = format!("{:x}", Sha256::digest(KEY.as_bytes()));
    let tables = json!({
        "route": {
            "chat": {"path": "/v1/chat/completions", "model": "fitter", "pools": ["chat"],
                     "idempotent": true, "timeout_ms": 100_000},
            "book": {"path": "/book", "pools": ["booking"], "idempotent": false,
                     "timeout_ms": 60_000},
            "free": {"path": "/free", "pools": ["booking"], "idempotent": true,
                     "timeout_ms": 60_000},
        },
        "pool": {
            "chat": {"kind": "model", "limit": 16},
            "booking": {"kind": "service", "limit": 16},
        },
        "account": {"fitters": {"key_sha256": hash, "weight": 1}},
    });
    serde_json::from_value(tables).expect("tables by kind and name")
}

async fn wait_for_ready(operations: SocketAddr) {
    let url = format!("http://{operations}/readyz");
    wait_for("readiness", || async {
        let response = awc::Client::default().get(&url).send().await.ok()?;
        response.status().is_success().then_some(())
    })
    .await;
}

/// The state dump of a daemon; `None` if it doesn't answer.
pub async fn dump(operations: SocketAddr) -> Option<Value> {
    let url = format!("http://{operations}/dump");
    let mut response = awc::Client::default().get(url).send().await.ok()?;
    response.json().limit(4 << 20).await.ok()
}

/// An entry's explanation of a request.
pub async fn explain(operations: SocketAddr, id: &str) -> Option<String> {
    let url = format!("http://{operations}/explain/{id}");
    let mut response = awc::Client::default().get(url).send().await.ok()?;
    let body = response.body().await.ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}

/// The value of a metric of a daemon.
pub async fn metric(operations: SocketAddr, name: &str) -> Option<f64> {
    let url = format!("http://{operations}/metrics");
    let mut response = awc::Client::default().get(url).send().await.ok()?;
    let body = response.body().await.ok()?;
    let text = String::from_utf8_lossy(&body).into_owned();
    let line = text.lines().find(|line| line.split(['{', ' ']).next() == Some(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Polls until there is a value, for [`READY_LIMIT`] at most.
pub async fn wait_for<T, F>(what: &str, poll: impl Fn() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let started = std::time::Instant::now();
    while started.elapsed() < READY_LIMIT {
        if let Some(value) = poll().await {
            return value;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no {what} within {READY_LIMIT:?}");
}
