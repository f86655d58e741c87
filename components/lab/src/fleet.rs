//! The whole system in one process: embedded stand-ins, and each daemon on a
//! thread of its own, just as it runs in its program.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tables::host::{Role, State};
use tables::{Host, Name};
use tokio::sync::oneshot;

use crate::{engine, platform, port, service};

/// Bearer key of the fleet's client account.
pub const KEY: &str = "demo-key";
/// Longest wait for all daemons to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// What to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of entries.
    pub entries: usize,
    /// The availability zones.
    pub zones: Vec<Name>,
    /// Model engines in each zone.
    pub engines: usize,
    /// Plain services in each zone.
    pub services: usize,
    /// How the engines behave.
    pub engine: engine::Settings,
    /// How the services behave.
    pub service: service::Settings,
    /// Most requests that a warm engine runs at once.
    pub limit: u32,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            entries: 2,
            zones: ["accra-1", "accra-2", "accra-3"].map(Name::from).to_vec(),
            engines: 4,
            services: 1,
            engine: engine::Settings::default(),
            service: service::Settings::default(),
            limit: 64,
        }
    }
}

/// Why a fleet can't be started or asked.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// A stand-in can't be started.
    #[error(transparent)]
    Stand(#[from] crate::ServeError),
    /// The settings of a daemon don't fit its type.
    #[error("settings of a daemon")]
    Settings(#[from] serde_json::Error),
    /// The daemons were not ready in time.
    #[error("not ready within {0:?}")]
    Ready(Duration),
}

/// A daemon on its thread.
struct Daemon {
    operations: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// A backend server's agent.
struct Server {
    zone: Name,
    daemon: Daemon,
}

/// The running system.
pub struct Fleet {
    /// The stand-in for the platform.
    pub platform: platform::Handle,
    /// Addresses for callers, one for each entry.
    pub listen: Vec<SocketAddr>,
    /// The stand-in services.
    pub services: Vec<service::Service>,
    /// The stand-in engines.
    pub engines: Vec<crate::Handle>,
    entries: Vec<Daemon>,
    servers: Vec<Server>,
}

impl Fleet {
    /// Starts everything and waits until the daemons are ready.
    ///
    /// # Errors
    ///
    /// If something can't be started or is not ready in time.
    pub async fn start(plan: &Plan) -> Result<Fleet, Error> {
        let hosts = hosts(plan);
        let settings = platform::Settings {
            objects: tables(plan)?,
            hosts: hosts.clone(),
            ..platform::Settings::default()
        };
        let platform = platform::serve(([127, 0, 0, 1], 0).into(), settings)?;
        let mut fleet = Fleet {
            platform,
            listen: Vec::new(),
            services: Vec::new(),
            engines: Vec::new(),
            entries: Vec::new(),
            servers: Vec::new(),
        };
        let peers: Vec<Name> = hosts
            .iter()
            .filter(|host| host.role == Role::Entry)
            .map(|host| host.link.clone())
            .collect();
        for host in &hosts {
            match (host.role, host.pool.as_deref()) {
                (Role::Entry, _) => fleet.add_entry(host, &peers)?,
                (Role::Server, Some("chat")) => fleet.add_engine(plan, host, &peers)?,
                (Role::Server, _) => fleet.add_service(plan, host, &peers)?,
            }
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Requests handed over to the backend servers of a zone so far.
    pub async fn begun(&self, zone: &str) -> u64 {
        let mut begun = 0;
        for server in self.servers.iter().filter(|server| server.zone == zone) {
            let dump = dump(server.daemon.operations).await.unwrap_or_default();
            begun += dump["gate"]["counters"]["run"].as_u64().unwrap_or(0);
        }
        begun
    }

    /// Runs of keys beyond the first, over all services.
    pub fn doubled(&self) -> u64 {
        let mut runs: BTreeMap<Name, u64> = BTreeMap::new();
        for service in &self.services {
            for (key, count) in service.runs() {
                *runs.entry(key).or_default() += count;
            }
        }
        runs.values().map(|count| count.saturating_sub(1)).sum()
    }

    /// Stops the daemons as a signal does, and waits for them.
    pub fn stop(mut self) {
        let servers = self.servers.drain(..).map(|server| server.daemon);
        let daemons: Vec<Daemon> = self.entries.drain(..).chain(servers).collect();
        for mut daemon in daemons {
            if let Some(stop) = daemon.stop.take() {
                let _ = stop.send(());
            }
            if let Some(thread) = daemon.thread.take() {
                let _ = thread.join();
            }
        }
    }

    fn add_entry(&mut self, host: &Host, peers: &[Name]) -> Result<(), Error> {
        let (listen, operations) = (port::free(), port::free());
        let settings: entry::Settings = settings(json!({
            "name": host.name, "zone": host.zone, "listen": listen, "operations": operations,
            "link": host.link, "peers": peers, "platform": [self.platform.url()],
            "watch": {"interval_ms": 500, "seed": self.entries.len()},
            "linger_ms": 0, "drain_ms": 5000,
        }))?;
        self.listen.push(listen);
        self.entries.push(start(operations, |stop| entry::run(settings, stop)));
        Ok(())
    }

    fn add_engine(&mut self, plan: &Plan, host: &Host, peers: &[Name]) -> Result<(), Error> {
        let handle = engine::serve(plan.engine.clone())?;
        self.add_server(host, peers, "model", &handle.to_url())?;
        self.engines.push(handle);
        Ok(())
    }

    fn add_service(&mut self, plan: &Plan, host: &Host, peers: &[Name]) -> Result<(), Error> {
        let service = service::serve(plan.service.clone())?;
        self.add_server(host, peers, "service", &service.handle.to_url())?;
        self.services.push(service);
        Ok(())
    }

    fn add_server(
        &mut self,
        host: &Host,
        peers: &[Name],
        kind: &str,
        backend: &str,
    ) -> Result<(), Error> {
        let operations = port::free();
        let settings: agent::Settings = settings(json!({
            "name": host.name, "zone": host.zone, "pool": host.pool, "kind": kind,
            "backend": backend, "operations": operations, "link": host.link,
            "peers": peers, "platform": [self.platform.url()], "drain_ms": 5000,
        }))?;
        let daemon = start(operations, |stop| agent::run(settings, stop));
        self.servers.push(Server { zone: host.zone.clone(), daemon });
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), Error> {
        let started = Instant::now();
        while started.elapsed() < READY_LIMIT {
            if self.is_ready().await {
                return Ok(());
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        Err(Error::Ready(READY_LIMIT))
    }

    /// Whether each entry has heard all agents, and all take work.
    async fn is_ready(&self) -> bool {
        for entry in &self.entries {
            let dump = dump(entry.operations).await.unwrap_or_default();
            let members = dump["members"].as_array().cloned().unwrap_or_default();
            let takes_work = |member: &&Value| member["report"]["leaving"] == false;
            if members.iter().filter(takes_work).count() != self.servers.len() {
                return false;
            }
        }
        true
    }
}

fn settings<T: DeserializeOwned>(value: Value) -> Result<T, Error> {
    Ok(serde_json::from_value(value)?)
}

/// Starts a daemon on a thread with an actix system of its own.
fn start<E, F>(
    operations: SocketAddr,
    run: impl FnOnce(Box<dyn Future<Output = ()> + Unpin>) -> F + Send + 'static,
) -> Daemon
where
    E: std::error::Error,
    F: Future<Output = Result<(), E>> + 'static,
{
    let (stop, stopped) = oneshot::channel::<()>();
    let thread = std::thread::spawn(move || {
        let stop = Box::pin(async move {
            let _ = stopped.await;
        });
        if let Err(error) = actix_rt::System::new().block_on(run(Box::new(stop))) {
            log::error!("{error}");
        }
    });
    Daemon { operations, stop: Some(stop), thread: Some(thread) }
}

async fn dump(operations: SocketAddr) -> Option<Value> {
    let url = format!("http://{operations}/dump");
    let mut response = awc::Client::default().get(url).send().await.ok()?;
    response.json().limit(4 << 20).await.ok()
}

fn hosts(plan: &Plan) -> Vec<Host> {
    let host = |name: String, role, zone: &Name, pool: Option<&str>| Host {
        name: name.into(),
        role,
        zone: zone.clone(),
        link: format!("tcp://{}", port::free()).into(),
        pool: pool.map(Name::from),
        state: State::Live,
    };
    let mut hosts = Vec::new();
    for number in 0..plan.entries {
        let zone = &plan.zones[number % plan.zones.len()];
        hosts.push(host(format!("entry-{number}"), Role::Entry, zone, None));
    }
    for zone in &plan.zones {
        for number in 0..plan.engines {
            hosts.push(host(format!("{zone}-engine-{number}"), Role::Server, zone, Some("chat")));
        }
        for number in 0..plan.services {
            let name = format!("{zone}-service-{number}");
            hosts.push(host(name, Role::Server, zone, Some("booking")));
        }
    }
    hosts
}

fn tables(plan: &Plan) -> Result<BTreeMap<Name, BTreeMap<Name, Value>>, Error> {
    let hash = format!("{:x}", Sha256::digest(KEY.as_bytes()));
    let tables = json!({
        "route": {
            "chat": {"path": "/v1/chat/completions", "model": "stand-in", "pools": ["chat"],
                     "idempotent": true, "timeout_ms": 30_000},
            "book": {"path": "/bookings", "pools": ["booking"], "idempotent": false,
                     "timeout_ms": 10_000},
        },
        "pool": {
            "chat": {"kind": "model", "limit": plan.limit},
            "booking": {"kind": "service", "limit": 32},
        },
        "account": {"fitters": {"key_sha256": hash, "weight": 1}},
    });
    Ok(serde_json::from_value(tables)?)
}
