//! A small seeded simulation that measures the selection of backend servers.
//!
//! Entries, each with a subset of the servers, select by delayed load reports
//! and incomplete cache events; simulated engines queue requests, compute
//! prompts and occupy a slot per running request.

mod engine;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tables::Name;

use crate::choice::{self, Candidate};
use crate::prefix::Prefix;
use crate::report::Tracker;
use crate::{baseline, subset};
use engine::{Engine, Job};

/// Number of backend servers.
const SERVERS: usize = 48;
/// Number of backend servers that stay cold throughout a run.
const COLD_SERVERS: usize = 3;
/// Number of entries.
const ENTRIES: usize = 8;
/// Backend servers in an entry's subset.
const SUBSET_SIZE: usize = 24;
/// Number of availability zones.
const ZONES: usize = 3;
/// Number of prompt families, each with a shared prefix.
const FAMILIES: usize = 300;
/// Tokens in a prompt block.
const BLOCK_TOKENS: u32 = 64;
/// Interval between two load reports of a server.
const REPORT_INTERVAL_US: u64 = 100_000;
/// Delay of a cache event.
const CACHE_EVENT_DELAY_US: u64 = 500_000;
/// One-way network delay within a zone.
const SAME_ZONE_DELAY_US: u64 = 200;
/// One-way network delay between zones.
const CROSS_ZONE_DELAY_US: u64 = 1_000;
/// Mean time that a request occupies its slot after the first token.
const DECODE_US: u64 = 2_000_000;
/// Start of the measured part of a run.
const WARM_UP_US: u64 = 5_000_000;
/// Time at which arrivals and load reports end.
const ARRIVALS_END_US: u64 = 25_000_000;

/// The selection policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// [`choice::choose`] with prefix cache information.
    Scored,
    /// [`choice::choose`] without prefix cache information.
    Uncached,
    /// [`baseline::random`].
    Random,
    /// [`baseline::round_robin`].
    RoundRobin,
    /// [`baseline::least_in_flight`].
    LeastInFlight,
    /// [`baseline::two_choices`].
    TwoChoices,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Seed of the random number generator.
    pub seed: u64,
    /// The selection policy.
    pub policy: Policy,
    /// Age of a load report on arrival.
    pub lag: Duration,
    /// Share of cache events that are lost.
    pub gaps: f64,
    /// Arrival rate as a share of the capacity of the warm servers.
    pub load: f64,
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Median first-token latency.
    pub median: Duration,
    /// 95th percentile of the first-token latency.
    pub p95: Duration,
    /// Longest queue of a warm server.
    pub queue: usize,
    /// Longest queue of a cold server.
    pub cold_queue: usize,
    /// Share of the prompt tokens served from the prefix cache.
    pub cached: f64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { entry: usize },
    Enqueue { server: usize, job: Job },
    Prefilled { server: usize },
    Finished { server: usize, entry: usize, tokens: u32 },
    Measure { server: usize },
    Deliver { server: usize, report: engine::Load },
    CacheUpdate { server: usize, blocks: Vec<u64> },
}

struct Entry {
    zone: usize,
    servers: Vec<usize>,
    tracker: Tracker,
    prefix: Prefix,
    turn: usize,
}

struct Simulation {
    setting: Setting,
    rng: ChaCha8Rng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    names: Vec<Name>,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    latencies: Vec<u64>,
    tokens: u64,
    cached: u64,
}

/// Runs the simulation; the same setting always gives the same outcome.
///
/// ```
/// use std::time::Duration;
/// use routing::experiment::{Policy, Setting, run};
/// let lag = Duration::from_millis(100);
/// let setting = Setting { seed: 1, policy: Policy::Random, lag, gaps: 0.3, load: 0.3 };
/// assert_eq!(run(setting), run(setting));
/// ```
pub fn run(setting: Setting) -> Outcome {
    let mut simulation = Simulation::new(setting);
    simulation.start();
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now_us = at;
        simulation.handle(event);
    }
    simulation.outcome()
}

impl Simulation {
    fn new(setting: Setting) -> Simulation {
        let names: Vec<Name> = (0..SERVERS).map(|i| Name::from(format!("s{i}"))).collect();
        let entries = (0..ENTRIES).map(|i| Entry::new(i, &names)).collect();
        Simulation {
            setting,
            rng: ChaCha8Rng::seed_from_u64(setting.seed),
            now_us: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            names,
            engines: (0..SERVERS).map(|i| Engine::new(i < COLD_SERVERS)).collect(),
            entries,
            latencies: Vec::new(),
            tokens: 0,
            cached: 0,
        }
    }

    fn start(&mut self) {
        for entry in 0..ENTRIES {
            self.after(0, Event::Arrive { entry });
        }
        for server in 0..SERVERS {
            let offset = self.rng.random_range(0..REPORT_INTERVAL_US);
            self.after(offset, Event::Measure { server });
        }
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now_us + delay, self.event_count, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { entry } => self.arrive(entry),
            Event::Enqueue { server, job } => {
                self.engines[server].queue.push_back(job);
                self.advance(server);
            }
            Event::Prefilled { server } => self.finish_prefill(server),
            Event::Finished { server, entry, tokens } => {
                self.engines[server].running -= 1;
                let now = Duration::from_micros(self.now_us);
                self.entries[entry].tracker.ended(now, &self.names[server], tokens);
                self.advance(server);
            }
            Event::Measure { server } => self.measure(server),
            Event::Deliver { server, report } => self.deliver(server, report),
            Event::CacheUpdate { server, blocks } => self.apply_cache_update(server, &blocks),
        }
    }

    fn arrive(&mut self, entry: usize) {
        if self.now_us >= ARRIVALS_END_US {
            return;
        }
        let arrivals_per_us =
            self.setting.load * engine::LIMIT as f64 * (SERVERS - COLD_SERVERS) as f64
                / (DECODE_US as f64 * ENTRIES as f64);
        let interarrival_us = -self.rng.random_range(f64::EPSILON..1.0f64).ln() / arrivals_per_us;
        self.after(interarrival_us as u64, Event::Arrive { entry });
        let job = self.random_job(entry);
        let Some(server) = self.choose(entry, &job) else { return };
        let now = Duration::from_micros(self.now_us);
        let origin = &mut self.entries[entry];
        origin.tracker.started(now, &self.names[server], job.tokens);
        origin.prefix.record(now, &self.names[server], &job.blocks);
        let delay =
            if origin.zone == server % ZONES { SAME_ZONE_DELAY_US } else { CROSS_ZONE_DELAY_US };
        self.after(delay, Event::Enqueue { server, job });
    }

    /// Generates a request with the shared prefix of a random family and a unique
    /// tail.
    fn random_job(&mut self, entry: usize) -> Job {
        let draw: f64 = self.rng.random();
        let family = ((FAMILIES as f64).powf(draw) - 1.0) as u64;
        let shared = 4 + family % 28;
        let unique = self.rng.random_range(2..12);
        let unique_seed: u64 = self.rng.random();
        let prefix = (0..shared).map(|i| (family << 8) | i);
        let blocks: Vec<u64> =
            prefix.chain((0..unique).map(|i| unique_seed.wrapping_add(i))).collect();
        let tokens = blocks.len() as u32 * BLOCK_TOKENS;
        Job { entry, arrived_us: self.now_us, tokens, blocks }
    }

    fn choose(&mut self, entry: usize, job: &Job) -> Option<usize> {
        let now = Duration::from_micros(self.now_us);
        let entry = &mut self.entries[entry];
        let use_cache = self.setting.policy == Policy::Scored;
        let shares = entry.prefix.shares(now, &job.blocks);
        let candidates: Vec<Candidate> = entry
            .servers
            .iter()
            .map(|server| {
                let name = &self.names[*server];
                let cached = shares.get(name).copied().filter(|_| use_cache).unwrap_or(0.0);
                Candidate {
                    server: name.clone(),
                    same_zone: entry.zone == server % ZONES,
                    in_service: true,
                    view: entry.tracker.view(now, name),
                    in_flight: entry.tracker.in_flight(name),
                    cached,
                }
            })
            .collect();
        let chosen = match self.setting.policy {
            Policy::Scored | Policy::Uncached => {
                choice::choose(&mut self.rng, &candidates, job.tokens)
            }
            Policy::Random => baseline::random(&mut self.rng, &candidates),
            Policy::RoundRobin => baseline::round_robin(&mut entry.turn, &candidates),
            Policy::LeastInFlight => baseline::least_in_flight(&candidates),
            Policy::TwoChoices => baseline::two_choices(&mut self.rng, &candidates),
        };
        chosen.map(|index| entry.servers[index])
    }

    fn advance(&mut self, server: usize) {
        if let Some(prefill) = self.engines[server].start() {
            self.tokens += u64::from(prefill.tokens);
            self.cached += u64::from(prefill.cached);
            self.after(prefill.time_us, Event::Prefilled { server });
        }
    }

    fn finish_prefill(&mut self, server: usize) {
        let Some(job) = self.engines[server].finish() else { return };
        let delay = if self.entries[job.entry].zone == server % ZONES {
            SAME_ZONE_DELAY_US
        } else {
            CROSS_ZONE_DELAY_US
        };
        if job.arrived_us >= WARM_UP_US {
            self.latencies.push(self.now_us + delay - job.arrived_us);
        }
        let decode_us = (DECODE_US as f64 * self.rng.random_range(0.5..1.5)) as u64;
        let Job { entry, tokens, blocks, .. } = job;
        self.after(decode_us, Event::Finished { server, entry, tokens });
        if !self.rng.random_bool(self.setting.gaps) {
            self.after(CACHE_EVENT_DELAY_US, Event::CacheUpdate { server, blocks });
        }
        self.advance(server);
    }

    fn measure(&mut self, server: usize) {
        if self.now_us >= ARRIVALS_END_US {
            return;
        }
        let report = self.engines[server].load();
        let lag = self.setting.lag.as_micros() as u64;
        self.after(lag, Event::Deliver { server, report });
        self.after(REPORT_INTERVAL_US, Event::Measure { server });
    }

    fn deliver(&mut self, server: usize, load: engine::Load) {
        let now = Duration::from_micros(self.now_us);
        for entry in self.entries.iter_mut().filter(|entry| entry.servers.contains(&server)) {
            entry.tracker.observe(now, &self.names[server], load.into());
        }
    }

    fn apply_cache_update(&mut self, server: usize, blocks: &[u64]) {
        let now = Duration::from_micros(self.now_us);
        for entry in self.entries.iter_mut().filter(|entry| entry.servers.contains(&server)) {
            entry.prefix.record(now, &self.names[server], blocks);
        }
    }

    fn outcome(mut self) -> Outcome {
        self.latencies.sort_unstable();
        let quantile = |share: f64| {
            let rank = (self.latencies.len().saturating_sub(1) as f64 * share).ceil() as usize;
            Duration::from_micros(self.latencies.get(rank).copied().unwrap_or(0))
        };
        let longest_queue = |engines: &[Engine]| {
            engines.iter().map(|engine| engine.longest_queue).max().unwrap_or(0)
        };
        Outcome {
            median: quantile(0.5),
            p95: quantile(0.95),
            queue: longest_queue(&self.engines[COLD_SERVERS..]),
            cold_queue: longest_queue(&self.engines[..COLD_SERVERS]),
            cached: self.cached as f64 / self.tokens.max(1) as f64,
        }
    }
}

impl Entry {
    fn new(index: usize, names: &[Name]) -> Entry {
        let subset = subset::pick(&format!("e{index}"), names, SUBSET_SIZE);
        let servers = subset.iter().filter_map(|name| names.iter().position(|other| other == name));
        Entry {
            zone: index % ZONES,
            servers: servers.collect(),
            tracker: Tracker::default(),
            prefix: Prefix::default(),
            turn: index,
        }
    }
}
