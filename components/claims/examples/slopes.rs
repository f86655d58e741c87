//! Cost of the ledger: bytes and CPU time per claim by batch size, and platform
//! calls per claim by number of agents that share the partitions.
//!
//! `cargo run --release -p claims --example slopes`, prints one JSON line per row.

use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use claims::{Answer, Input, Ledger, Object, Output, Settings, Writer};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WALL: Duration = Duration::from_secs(1_800_000_000);
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time a backend server takes to execute a request.
const SERVICE_TIME: Duration = Duration::from_millis(40);
const PARTITIONS: u32 = 16;

fn main() {
    for batch in [1, 4, 16, 64] {
        measure_batch(batch);
    }
    for (agents, rate) in [(3, 10), (3, 100), (30, 100), (30, 400)] {
        for affine in [false, true] {
            measure_sharing(agents, rate, affine);
        }
    }
    measure_sharing(300, 400, true);
}

fn begin(ticket: u64, now: Duration) -> Input {
    Input::Begin {
        ticket,
        key: format!("account-{}/key-{ticket}", ticket % 10).into(),
        fingerprint: ticket,
        deadline: now + CALLER_TIMEOUT,
        wall: WALL + now,
    }
}

fn answer() -> Answer {
    let headers = vec![("content-type".into(), "application/json".into())];
    Answer { status: 201, headers, body: vec![b'x'; 200] }
}

fn writer(index: usize) -> Writer {
    Writer { name: format!("accra-1-host-{index}").into(), incarnation: 1_800_000_000 }
}

/// Measures one agent on one partition; each write holds `batch` claims and as many results.
fn measure_batch(batch: u64) {
    let settings = Settings { pace: Duration::ZERO, ..Settings::default() };
    let mut ledger = Ledger::new(writer(0), "bookings", 1, settings);
    let rounds = 4096 / batch;
    let (mut version, mut writes, mut bytes, mut spilled) = (0, 0_u64, 0_usize, 0_usize);
    let mut granted: Vec<u64> = Vec::new();
    let started = Instant::now();
    for round in 0..rounds {
        let now = Duration::from_millis(round * 50);
        let mut outputs = Vec::new();
        for ticket in std::mem::take(&mut granted) {
            outputs.extend(ledger.step(now, Input::Finish { ticket, answer: Some(answer()) }));
        }
        for ticket in round * batch..(round + 1) * batch {
            outputs.extend(ledger.step(now, begin(ticket, now)));
        }
        while let Some(output) = outputs.pop() {
            let reply = match output {
                Output::Load { call, partition } => Input::Loaded { call, partition, object: None },
                Output::Store { call, partition, value, .. } => {
                    version += 1;
                    writes += 1;
                    bytes += value.len();
                    Input::Stored { call, partition, version }
                }
                Output::StoreSegment { call, partition, value, .. } => {
                    writes += 1;
                    spilled += value.len();
                    Input::SegmentStored { call, partition }
                }
                Output::Grant { ticket } => {
                    granted.push(ticket);
                    continue;
                }
                _ => continue,
            };
            outputs.extend(ledger.step(now, reply));
        }
    }
    let claims = (rounds * batch) as f64;
    let micros = started.elapsed().as_secs_f64() * 1e6 / claims;
    println!(
        r#"{{"row":"batch","batch":{batch},"claims":{claims},"writes_per_claim":{:.3},"head_bytes_per_claim":{:.0},"segment_bytes_per_claim":{:.0},"cpu_us_per_claim":{micros:.1}}}"#,
        writes as f64 / claims,
        bytes as f64 / claims,
        spilled as f64 / claims,
    );
}

/// An event in the simulation of several agents.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Apply(usize, u64),
    Reply(usize, u64),
    Finish(usize, u64),
    Tick,
}

/// Simulation of agents that share the partitions on a platform with a latency of
/// 1 to 3 ms each way.
struct Simulation {
    ledgers: Vec<Ledger>,
    queue: BinaryHeap<std::cmp::Reverse<(Duration, u64, Event)>>,
    calls: BTreeMap<u64, Output>,
    replies: BTreeMap<u64, Input>,
    objects: BTreeMap<String, Object>,
    rng: ChaCha8Rng,
    event_count: u64,
    reads: u64,
    writes: u64,
    conflicts: u64,
    begin_times: BTreeMap<u64, Duration>,
    waits: Vec<Duration>,
    denied: u64,
}

fn measure_sharing(agents: usize, rate: u64, affine: bool) {
    let mut simulation = Simulation {
        ledgers: (0..agents)
            .map(|index| Ledger::new(writer(index), "bookings", PARTITIONS, Settings::default()))
            .collect(),
        queue: BinaryHeap::new(),
        calls: BTreeMap::new(),
        replies: BTreeMap::new(),
        objects: BTreeMap::new(),
        rng: ChaCha8Rng::seed_from_u64(1),
        event_count: 0,
        reads: 0,
        writes: 0,
        conflicts: 0,
        begin_times: BTreeMap::new(),
        waits: Vec::new(),
        denied: 0,
    };
    let seconds = 20;
    for index in 0..rate * seconds {
        simulation.push(Duration::from_micros(index * 1_000_000 / rate), Event::Arrive);
    }
    for index in 0..seconds * 100 {
        simulation.push(Duration::from_millis(index * 10), Event::Tick);
    }
    let mut ticket = 0;
    while let Some(std::cmp::Reverse((now, _, event))) = simulation.queue.pop() {
        match event {
            Event::Arrive => {
                ticket += 1;
                let input = begin(ticket, now);
                let Input::Begin { key, .. } = &input else { continue };
                let owner = Ledger::partition(key, PARTITIONS) as usize % agents;
                let agent = if affine { owner } else { simulation.rng.random_range(0..agents) };
                simulation.begin_times.insert(ticket, now);
                simulation.step(now, agent, input);
            }
            Event::Apply(agent, id) => simulation.apply(now, agent, id),
            Event::Reply(agent, id) => {
                let Some(reply) = simulation.replies.remove(&id) else { continue };
                simulation.step(now, agent, reply);
            }
            Event::Finish(agent, ticket) => {
                simulation.step(now, agent, Input::Finish { ticket, answer: Some(answer()) });
            }
            Event::Tick => {
                for agent in 0..agents {
                    simulation.step(now, agent, Input::Tick { wall: WALL + now });
                }
            }
        }
    }
    simulation.report(agents, rate, affine);
}

impl Simulation {
    fn push(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.queue.push(std::cmp::Reverse((at, self.event_count, event)));
    }

    fn step(&mut self, now: Duration, agent: usize, input: Input) {
        for output in self.ledgers[agent].step(now, input) {
            match output {
                Output::Grant { ticket } => {
                    self.waits.extend(self.begin_times.remove(&ticket).map(|at| now - at));
                    self.push(now + SERVICE_TIME, Event::Finish(agent, ticket));
                }
                Output::Deny { .. } => self.denied += 1,
                output => {
                    let at = now + Duration::from_micros(self.rng.random_range(1000..3000));
                    self.calls.insert(self.event_count + 1, output);
                    self.push(at, Event::Apply(agent, self.event_count + 1));
                }
            }
        }
    }

    fn apply(&mut self, now: Duration, agent: usize, id: u64) {
        let Some(output) = self.calls.remove(&id) else { return };
        let Some(reply) = self.execute(output) else { return };
        self.replies.insert(id, reply);
        let at = now + Duration::from_micros(self.rng.random_range(1000..3000));
        self.push(at, Event::Reply(agent, id));
    }

    fn execute(&mut self, output: Output) -> Option<Input> {
        match output {
            Output::Load { call, partition } => {
                self.reads += 1;
                let object = self.objects.get(&partition.to_string()).cloned();
                Some(Input::Loaded { call, partition, object })
            }
            Output::LoadSegment { call, partition, name } => {
                self.reads += 1;
                let value = self.objects.get(name.as_str()).map(|object| object.value.clone());
                Some(Input::SegmentLoaded { call, partition, value })
            }
            Output::Store { call, partition, expect, value } => {
                self.writes += 1;
                let name = partition.to_string();
                if self.objects.get(&name).map(|object| object.version) != expect {
                    self.conflicts += 1;
                    return Some(Input::Conflict { call, partition });
                }
                let version = expect.unwrap_or(0) + 1;
                self.objects.insert(name, Object { version, value });
                Some(Input::Stored { call, partition, version })
            }
            Output::StoreSegment { call, partition, name, value } => {
                self.writes += 1;
                self.objects.insert(name.to_string(), Object { version: 1, value });
                Some(Input::SegmentStored { call, partition })
            }
            Output::DeleteSegment { name, .. } => {
                self.writes += 1;
                self.objects.remove(name.as_str());
                None
            }
            Output::Grant { .. } | Output::Deny { .. } => None,
        }
    }

    fn report(mut self, agents: usize, rate: u64, affine: bool) {
        self.waits.sort_unstable();
        let granted = self.waits.len();
        let percentile_ms = |share: f64| {
            let index = ((granted as f64 * share) as usize).min(granted.saturating_sub(1));
            self.waits.get(index).map_or(0.0, |wait| wait.as_secs_f64() * 1e3)
        };
        println!(
            r#"{{"row":"sharing","agents":{agents},"rate":{rate},"one_agent_a_partition":{affine},"granted":{granted},"denied":{},"writes_per_claim":{:.2},"conflicts_per_claim":{:.2},"reads_per_claim":{:.2},"wait_p50_ms":{:.1},"wait_p99_ms":{:.1}}}"#,
            self.denied,
            self.writes as f64 / granted as f64,
            self.conflicts as f64 / granted as f64,
            self.reads as f64 / granted as f64,
            percentile_ms(0.5),
            percentile_ms(0.99),
        );
    }
}
