//! Simulates the watches of a fleet and prints the rate of platform calls, the
//! delay of changes and the call rate after an outage. Deterministic: time is
//! simulated and changes are generated from a seed.
//!
//! `cargo run --release -p platform --example calls`

use std::collections::VecDeque;
use std::time::Duration;

use platform::watch::{Input, Output, Settings};
use platform::{Changes, Error, Hosts, Update, Watch};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tables::Host;
use tables::host::{Role, State};

const NODES: u64 = 640;
const WORKERS: usize = 12_000;
const SIMULATED_TIME: Duration = Duration::from_secs(900);
/// Configuration changes per second: 67,000 per day.
const CHANGES_PER_S: f64 = 67_000.0 / 86_400.0;
/// Host list changes per second: 4,272 hosts per day are marked as leaving,
/// removed and added.
const HOST_CHANGES_PER_S: f64 = 4_272.0 * 3.0 / 86_400.0;
const OUTAGE: [Duration; 2] = [Duration::from_secs(400), Duration::from_secs(460)];
/// One-way latency, within the node's region and between regions.
const LATENCY: Duration = Duration::from_millis(5);

/// Results of one simulation run.
#[derive(Default)]
struct Count {
    tables: u64,
    hosts: u64,
    by_second: Vec<u64>,
    delays: Vec<Duration>,
}

/// Change times; the revision of a change is its 1-based index in the list.
struct Platform {
    changes: Vec<Duration>,
    host_changes: Vec<Duration>,
    outage: bool,
}

impl Platform {
    fn new(rate: f64, outage: bool) -> Platform {
        let mut rng = ChaCha8Rng::seed_from_u64(17);
        let changes = change_times(&mut rng, rate);
        Platform { changes, host_changes: change_times(&mut rng, HOST_CHANGES_PER_S), outage }
    }

    fn is_unreachable(&self, now: Duration) -> bool {
        self.outage && now >= OUTAGE[0] && now < OUTAGE[1]
    }

    /// Time and revision of the reply to a watch that arrives at `now`; `None` if the
    /// platform is or becomes unreachable.
    fn reply(
        &self,
        changes: &[Duration],
        now: Duration,
        since: u64,
        wait: Duration,
    ) -> (Duration, Option<u64>) {
        if self.is_unreachable(now) {
            return (now, None);
        }
        let index = usize::try_from(since).unwrap_or(usize::MAX);
        let next = changes.get(index).copied().unwrap_or(Duration::MAX);
        let at = next.max(now).min(now + wait);
        if self.outage && now < OUTAGE[0] && at >= OUTAGE[0] {
            return (OUTAGE[0], None);
        }
        (at, Some(changes.partition_point(|time| *time <= at) as u64))
    }
}

fn change_times(rng: &mut ChaCha8Rng, rate: f64) -> Vec<Duration> {
    let mut at = 0.0;
    let mut times = Vec::new();
    while at < SIMULATED_TIME.as_secs_f64() {
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        times.push(Duration::from_secs_f64(at));
    }
    times
}

fn run_node(platform: &Platform, settings: Settings, count: &mut Count) {
    let mut watch = Watch::new(settings);
    let mut calls: VecDeque<(Duration, Input)> = VecDeque::new();
    let mut seen_revision = 0;
    let mut now = Duration::ZERO;
    let mut input = Input::Tick;
    while now < SIMULATED_TIME {
        for output in watch.step(now, input) {
            if let Some(call) = start_call(platform, now, output, count) {
                calls.push_back(call);
            }
        }
        for revision in seen_revision..watch.revision() {
            let change = platform.changes[usize::try_from(revision).unwrap_or(usize::MAX)];
            count.delays.push(now.saturating_sub(change));
        }
        seen_revision = watch.revision();
        calls.make_contiguous().sort_by_key(|(at, _)| *at);
        let wake = watch.next_tick().unwrap_or(Duration::MAX);
        (now, input) = match calls.front() {
            Some((at, _)) if *at <= wake => calls.pop_front().unwrap_or((wake, Input::Tick)),
            _ => (wake.max(now), Input::Tick),
        };
    }
}

/// Counts the call and returns the time and result of its completion.
fn start_call(
    platform: &Platform,
    now: Duration,
    output: Output,
    count: &mut Count,
) -> Option<(Duration, Input)> {
    let arrival = now + LATENCY;
    let (at, input) = match output {
        Output::Update(_) => return None,
        Output::List => {
            count.tables += 5;
            let rows = |revision| Update::Listing { revision, rows: vec![], malformed: vec![] };
            let (at, revision) = platform.reply(&platform.changes, arrival, 0, Duration::ZERO);
            (at, Input::Listed(revision.map(rows).ok_or(Error::Unreachable)))
        }
        Output::Watch { since, wait } => {
            count.tables += 1;
            let changes = |revision| Changes { revision, changes: vec![] };
            let (at, revision) = platform.reply(&platform.changes, arrival, since, wait);
            (at, Input::Changed(revision.map(changes).ok_or(Error::Unreachable)))
        }
        Output::Hosts { since, wait } => {
            count.hosts += 1;
            let hosts = |revision| Hosts { revision, ..Hosts::default() };
            let wait = if since == 0 { Duration::ZERO } else { wait };
            let (at, revision) = platform.reply(&platform.host_changes, arrival, since, wait);
            (at, Input::Hosts(revision.map(hosts).ok_or(Error::Unreachable)))
        }
    };
    let calls = if matches!(input, Input::Listed(_)) { 5 } else { 1 };
    let second = usize::try_from(arrival.as_secs()).unwrap_or(usize::MAX);
    if let Some(counter) = count.by_second.get_mut(second) {
        *counter += calls;
    }
    Some((at + LATENCY, input))
}

fn run(rate: f64, interval: Duration, nodes: u64, outage: bool) -> Count {
    let platform = Platform::new(rate, outage);
    let seconds = usize::try_from(SIMULATED_TIME.as_secs()).unwrap_or_default() + 60;
    let mut count = Count { by_second: vec![0; seconds], ..Count::default() };
    for seed in 0..nodes {
        let settings = Settings { interval, seed, ..Settings::default() };
        run_node(&platform, settings, &mut count);
    }
    count.delays.sort();
    count
}

fn percentile(delays: &[Duration], fraction: f64) -> f64 {
    let index = (delays.len() as f64 * fraction) as usize;
    delays.get(index.min(delays.len() - 1)).map_or(0.0, Duration::as_secs_f64)
}

fn main() {
    let span = SIMULATED_TIME.as_secs_f64();
    println!("{NODES} nodes, {span} s; calls per second; delay of a change in seconds");
    println!("changes/s interval  tables/s  hosts/s  p50    p99    max");
    for rate in [CHANGES_PER_S, CHANGES_PER_S * 10.0] {
        for interval in [0_u64, 1, 2, 3] {
            let count = run(rate, Duration::from_secs(interval), NODES, false);
            println!(
                "{rate:9.2} {interval:7} s {:9.0} {:8.0} {:6.2} {:6.2} {:6.2}",
                count.tables as f64 / span,
                count.hosts as f64 / span,
                percentile(&count.delays, 0.5),
                percentile(&count.delays, 0.99),
                percentile(&count.delays, 1.0),
            );
        }
    }
    println!("\none node in ten watches, the others receive changes in their peers' frames");
    let tenth = run(CHANGES_PER_S, Duration::from_secs(1), NODES / 10, false);
    println!(
        "tables/s {:.0}, hosts/s {:.0}",
        tenth.tables as f64 / span,
        tenth.hosts as f64 / span
    );

    println!("\noutage from {} s to {} s, interval 2 s", OUTAGE[0].as_secs(), OUTAGE[1].as_secs());
    let count = run(CHANGES_PER_S, Duration::from_secs(2), NODES, true);
    let max_calls = |from: usize, to: usize| count.by_second[from..to].iter().max().copied();
    println!("maximum calls per second before, during and after the outage:");
    println!("{:?} {:?} {:?}", max_calls(30, 399), max_calls(405, 460), max_calls(460, 480));
    println!("after all nodes started at once: {:?}", max_calls(0, 30));

    let hosts =
        Hosts { revision: 1, hosts: (0..WORKERS + 640).map(host).collect(), ..Hosts::default() };
    let change = Hosts { since: 1, hosts: vec![host(1)], ..Hosts::default() };
    let bytes = |hosts| serde_json::to_string(hosts).map_or(0, |text| text.len());
    println!("\nhost list of {} hosts: {} bytes per reply", hosts.hosts.len(), bytes(&hosts));
    println!("change of one host: {} bytes per reply", bytes(&change));
}

fn host(number: usize) -> Host {
    Host {
        name: format!("bench-{number:05}").into(),
        role: Role::Server,
        zone: format!("zone-{}", number % 42).into(),
        link: format!("tcp://10.0.{}.{}:7000", number / 256, number % 256).into(),
        pool: Some(format!("model-{}", number % 5).into()),
        state: State::Live,
    }
}
