//! Simulates entries, the store, operators and servers around the production
//! balancer.
#![allow(clippy::unwrap_used)]

mod store;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use balance::config::{Account, Config, Kind as RouteKind, Limits, Pool, Route};
use balance::content::{Content, Kind, Server};
use balance::view::Delta;
use balance::{Balancer, Options, Submission, Update};
use platform::poller::{Call, Transition};
use platform::{Error, Poller};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use store::{Response, Store};
use tables::{Name, Position};

const ZONES: [&str; 3] = ["a", "b", "c"];
const ENTRIES: usize = 4;
const STEP: Duration = Duration::from_millis(50);

/// Time without faults after which all entries must have the current state.
const SETTLE_TIME: Duration = Duration::from_secs(26);

struct PendingCall {
    due: Duration,
    kind: usize,
    call: Call,
    result: Result<Response, Error>,
}

struct Entry {
    name: Name,
    incarnation: u64,
    balancer: Balancer,
    pollers: Vec<Poller>,
    next_call_at: Vec<Duration>,
    pending_calls: Vec<PendingCall>,
    era: u64,
    store_reachable: bool,
    peers_reachable: bool,
    version: u64,
    /// Zones that the entry has seen out since they were last changed.
    observed_out: BTreeSet<&'static str>,
    /// Departed servers that the entry has seen draining.
    observed_draining: BTreeSet<Name>,
}

pub struct World {
    pub now: Duration,
    rng: ChaCha8Rng,
    store: Store,
    entries: Vec<Entry>,
    version: u64,
    servers: u64,
    departed: BTreeSet<Name>,
    /// Position of the store at which a zone was last taken out or back in.
    zone_changed_at: BTreeMap<&'static str, Position>,
    outage: Option<(Duration, Duration)>,
    pub actions: BTreeMap<&'static str, u32>,
}

fn config(version: u64) -> Config {
    let route = |zone: &str| Route {
        name: zone.into(),
        host: "shop".into(),
        prefix: format!("/{zone}/").into(),
        pools: vec![(zone.into(), 1)],
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(60),
        objective: Duration::from_millis(200),
        gap: None,
        attempts: 99,
        priority: 1,
        public: false,
    };
    Config {
        version,
        routes: ZONES.iter().map(|zone| route(zone)).collect(),
        pools: ZONES.iter().map(|zone| (Name::from(*zone), Pool::default())).collect(),
        keys: Some(BTreeMap::from([(
            format!("key-{version}").into(),
            Account { name: "benches".into(), priority: 1 },
        )])),
        limits: Limits { body: 1000, ..Limits::default() },
    }
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut world = World {
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: Store::new(),
            entries: Vec::new(),
            version: 1,
            servers: 0,
            departed: BTreeSet::new(),
            zone_changed_at: BTreeMap::new(),
            outage: None,
            actions: BTreeMap::new(),
        };
        world.write_config();
        for _ in 0..5 {
            world.add_server();
        }
        world.entries = (0..ENTRIES).map(|index| entry(index, 1)).collect();
        world
    }

    pub fn restores(&self) -> u32 {
        self.store.restores
    }

    /// Advances the simulation by `time`, with or without new faults.
    pub fn run(&mut self, time: Duration, inject_faults: bool) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            if inject_faults {
                self.act_at_random();
            }
            self.finish_outage();
            self.store.rewrite(self.now);
            if self.rng.random_range(0..6) == 0 {
                self.store.take_snapshot(self.now);
            }
            for index in 0..self.entries.len() {
                self.poll_store(index);
            }
            self.exchange_frames();
            if self.rng.random_range(0..4) == 0 {
                self.check();
            }
        }
    }

    /// Ends all faults, waits and compares each entry with the ground truth.
    pub fn settle(&mut self) {
        for entry in &mut self.entries {
            (entry.store_reachable, entry.peers_reachable) = (true, true);
        }
        self.run(SETTLE_TIME, false);
        let now = self.now;
        for index in 0..self.entries.len() {
            assert_eq!(self.entries[index].version, self.version, "configuration of {index}");
            for zone in ZONES {
                let usable = self.usable(index, zone);
                let dump = self.describe(now);
                assert_eq!(usable, self.expected(zone), "zone {zone} at {index}, {now:?}: {dump}");
            }
        }
    }

    /// Describes the state that entries hold, for failure messages.
    fn describe(&self, now: Duration) -> String {
        let lines = self.entries.iter().map(|entry| {
            let dump = entry.balancer.dump(now);
            format!(
                "\n{} {} {} {}",
                entry.name, dump["positions"], dump["zones_out"], dump["holds"]
            )
        });
        lines.collect()
    }

    fn expected(&self, zone: &str) -> BTreeSet<Name> {
        if self.is_out(zone) {
            return BTreeSet::new();
        }
        let live = self.store.truth.iter().filter_map(|((_, name), content)| match content {
            Content::Server(server) if server.zone.as_str() == zone && !server.draining => {
                Some(name.clone())
            }
            _ => None,
        });
        live.collect()
    }

    fn is_out(&self, zone: &str) -> bool {
        self.store.truth.contains_key(&(Kind::Zone, zone.into()))
    }

    fn act_at_random(&mut self) {
        let action = self.rng.random_range(0..260);
        let name = match action {
            0..=5 if self.store.up => {
                self.version += self.rng.random_range(1..4);
                self.write_config();
                "config"
            }
            6..=11 if self.store.up => {
                self.toggle_zone();
                "zone"
            }
            12..=16 if self.store.up => {
                self.add_server();
                "server"
            }
            17..=21 if self.store.up => {
                self.remove_server(action % 2 == 0);
                "server left"
            }
            22..=24 if self.outage.is_none() => {
                let downtime = Duration::from_millis(self.rng.random_range(50..2500));
                let age = Duration::from_millis(self.rng.random_range(100..8000));
                self.outage = Some((self.now + downtime, age));
                self.store.up = false;
                "restore"
            }
            25..=30 => {
                let entry = self.rng.random_range(0..ENTRIES);
                self.entries[entry].store_reachable ^= true;
                "cut from the store"
            }
            31..=36 => {
                let entry = self.rng.random_range(0..ENTRIES);
                self.entries[entry].peers_reachable ^= true;
                "cut from entries"
            }
            37 => {
                let index = self.rng.random_range(0..ENTRIES);
                let incarnation = self.entries[index].incarnation + 1;
                self.entries[index] = entry(index, incarnation);
                "entry restarted"
            }
            _ => return,
        };
        *self.actions.entry(name).or_default() += 1;
    }

    fn finish_outage(&mut self) {
        if let Some((end, age)) = self.outage
            && self.now >= end
        {
            self.outage = None;
            self.store.restore(self.now, age, &mut self.rng);
            self.store.up = true;
        }
    }

    fn write_config(&mut self) {
        let content = Content::Config(Box::new(config(self.version)));
        self.store.write(Kind::Config, &"main".into(), Some(content));
    }

    fn toggle_zone(&mut self) {
        let zone = ZONES[self.rng.random_range(0..ZONES.len())];
        let out = !self.is_out(zone);
        self.store.write(Kind::Zone, &zone.into(), out.then_some(Content::ZoneOut));
        self.zone_changed_at.insert(zone, self.store.position());
        for entry in &mut self.entries {
            entry.observed_out.remove(zone);
        }
    }

    fn add_server(&mut self) {
        self.servers += 1;
        let zone = ZONES[self.rng.random_range(0..ZONES.len())];
        let server = Server {
            pool: zone.into(),
            address: ([10, 0, 0, 1], self.servers as u16).into(),
            zone: zone.into(),
            slots: 4,
            draining: false,
            cold: Duration::ZERO,
            started_ms: self.servers,
            group: None,
        };
        let name = Name::from(format!("s{}", self.servers));
        self.store.write(Kind::Server, &name, Some(Content::Server(server)));
    }

    fn remove_server(&mut self, announced: bool) {
        let live = self.store.truth.iter().filter_map(|((_, name), content)| match content {
            Content::Server(server) => Some((name.clone(), server.clone())),
            _ => None,
        });
        let live: Vec<(Name, Server)> = live.collect();
        if live.len() < 3 {
            return;
        }
        let (name, server) = live[self.rng.random_range(0..live.len())].clone();
        self.departed.insert(name.clone());
        // A server that already drains is removed at once.
        let announces = announced && !server.draining;
        let content = announces.then_some(Content::Server(Server { draining: true, ..server }));
        self.store.write(Kind::Server, &name, content);
    }

    fn poll_store(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let (due, later) = std::mem::take(&mut entry.pending_calls)
            .into_iter()
            .partition(|call: &PendingCall| call.due <= now);
        entry.pending_calls = later;
        let due: Vec<PendingCall> = due;
        for pending_call in due {
            handle_response(entry, now, pending_call);
        }
        for kind in 0..Kind::ALL.len() {
            if !entry.balancer.follows_store(now, Kind::ALL[kind]) {
                continue;
            }
            let busy = entry.pending_calls.iter().any(|pending_call| pending_call.kind == kind);
            if busy || now < entry.next_call_at[kind] {
                continue;
            }
            entry.pollers[kind].observe_era(entry.era);
            let call = entry.pollers[kind].call();
            let result = if entry.store_reachable {
                self.store.serve(Kind::ALL[kind], call)
            } else {
                Err(Error::Unreachable)
            };
            let due = now + Duration::from_millis(self.rng.random_range(0..800));
            entry.pending_calls.push(PendingCall { due, kind, call, result });
        }
    }

    fn exchange_frames(&mut self) {
        let now = self.now;
        let mut frames = Vec::new();
        for (from, entry) in self.entries.iter_mut().enumerate() {
            entry.balancer.tick(now);
            if entry.peers_reachable {
                frames.push((from, entry.balancer.heartbeat(now), None));
            }
        }
        while let Some((from, message, to)) = frames.pop() {
            let sender = (self.entries[from].name.clone(), self.entries[from].incarnation);
            for index in 0..self.entries.len() {
                let entry = &mut self.entries[index];
                let addressed = to.as_ref().is_none_or(|to| *to == link(&entry.name));
                if index == from || !entry.peers_reachable || !addressed {
                    continue;
                }
                let message = message.clone();
                let from_link = link(&sender.0);
                let replies = entry.balancer.handle(now, &sender.0, sender.1, &from_link, message);
                entry.era = entry.era.max(entry.balancer.era());
                frames.extend(replies.into_iter().map(|(to, reply)| (index, reply, Some(to))));
            }
        }
    }

    /// The servers of a zone that an entry would send requests to.
    fn usable(&mut self, index: usize, zone: &str) -> BTreeSet<Name> {
        let now = self.now;
        let balancer = &mut self.entries[index].balancer;
        let keys = balancer.config().and_then(|config| config.keys.as_ref());
        let key = keys.and_then(|keys| keys.keys().next().cloned());
        let path = format!("/{zone}/");
        let submission = Submission {
            host: "shop",
            path: &path,
            key: key.as_deref(),
            caller_timeout: None,
            prompt_tokens: 0,
            fingerprint: 1,
            shared_parts: &[],
        };
        let mut usable = BTreeSet::new();
        let Ok(mut ticket) = balancer.admit(now, &submission) else { return usable };
        while let Ok(target) = balancer.choose(now, &mut ticket) {
            balancer.release(&target.server);
            usable.insert(target.server);
        }
        usable
    }

    fn check(&mut self) {
        for index in 0..self.entries.len() {
            let version = self.entries[index].balancer.config().map_or(0, |config| config.version);
            let before = self.entries[index].version;
            assert!(version >= before, "{before} to {version} at {index}, {:?}", self.now);
            self.entries[index].version = version;
            if !self.entries[index].balancer.is_ready() {
                continue;
            }
            for zone in ZONES {
                self.check_zone(index, zone);
            }
        }
    }

    fn check_zone(&mut self, index: usize, zone: &'static str) {
        let usable = self.usable(index, zone);
        let out = self.is_out(zone);
        let now = self.now;
        let dump = self.entries[index].balancer.dump(now);
        let members = dump["members"].as_object().unwrap();
        let find_member = |name: &Name| members.get(name.as_str());
        let entry = &mut self.entries[index];
        if out && entry.observed_out.contains(zone) {
            assert!(usable.is_empty(), "{zone} in use at {index}, {now:?}");
        }
        // Only counts if the entry has seen the latest change, not an earlier outage.
        let seen = self
            .zone_changed_at
            .get(zone)
            .is_some_and(|at| entry.balancer.position(Kind::Zone) >= *at);
        if out && seen && dump["zones_out"].as_array().unwrap().iter().any(|name| name == zone) {
            entry.observed_out.insert(zone);
        }
        for name in &self.departed {
            assert!(
                !(entry.observed_draining.contains(name) && usable.contains(name)),
                "{name} revived at {index}, {now:?}"
            );
            let member = find_member(name);
            if member.is_some_and(|member| member["draining"] == true) {
                entry.observed_draining.insert(name.clone());
            }
        }
    }
}

fn link(name: &Name) -> Name {
    format!("tcp://{name}").into()
}

fn entry(index: usize, incarnation: u64) -> Entry {
    let name = Name::from(format!("entry-{index}"));
    let seed = index as u64 * 100 + incarnation;
    let options = Options {
        name: name.clone(),
        zone: "a".into(),
        link: link(&name),
        seeds: Vec::new(),
        limits: balance::Limits {
            retry_ratio: 1.0,
            retry_slack: 1e9,
            retry_window: Duration::from_secs(10),
        },
        holds: balance::hold::Bounds::default(),
        freshness: balance::freshness::Bounds::default(),
        grace: Duration::from_secs(8),
        seed,
    };
    Entry {
        name,
        incarnation,
        balancer: Balancer::new(options),
        pollers: (0..Kind::ALL.len()).map(|kind| Poller::new(seed + kind as u64)).collect(),
        next_call_at: vec![Duration::ZERO; Kind::ALL.len()],
        pending_calls: Vec::new(),
        era: 0,
        store_reachable: true,
        peers_reachable: true,
        version: 0,
        observed_out: BTreeSet::new(),
        observed_draining: BTreeSet::new(),
    }
}

/// Handles a response of the store in the same way as the registry and the entry.
fn handle_response(entry: &mut Entry, now: Duration, pending_call: PendingCall) {
    let PendingCall { kind, call, result, .. } = pending_call;
    let result = result.and_then(|response| {
        if response.position.era < entry.era { Err(Error::Outdated) } else { Ok(response) }
    });
    let poller = &mut entry.pollers[kind];
    let response = match result {
        Ok(response) => response,
        Err(error) => {
            entry.next_call_at[kind] = now + poller.fail(&error).1;
            return;
        }
    };
    entry.era = response.position.era;
    let transition = poller.succeed(call, response.position);
    if transition == Transition::Restored {
        return;
    }
    entry.balancer.record_store_reply(now, Kind::ALL[kind]);
    if transition == Transition::Recovered {
        entry.balancer.record_reconnect(now);
    }
    let kind = Kind::ALL[kind];
    let Response { position, rows } = response;
    let update = match call {
        Call::List => Update::Listing { kind, position, rows },
        Call::Watch(since) => {
            let delta = Delta { since: since.revision, revision: position.revision, rows };
            Update::Changes { kind, era: position.era, delta }
        }
    };
    entry.balancer.apply(now, update);
}
