//! Measures the processor time and memory of a choice by number of servers.

use std::hint::black_box;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::choice::{Candidate, choose};
use routing::prefix::Prefix;
use routing::report::Tracker;
use routing::subset;
use tables::Name;

/// Timed choices.
const ROUNDS: u32 = 2000;
/// Planned requests per second of an entry.
const REQUESTS_PER_S: f64 = 138.0;

fn main() {
    println!("servers choice_us core_percent_at_138_per_s holders resident_kb");
    for servers in [75, 225, 675] {
        measure(servers);
    }
    println!("members subset_us");
    for count in [3000, 12_000, 48_000] {
        let members = names(count);
        let start = Instant::now();
        black_box(subset::pick("entry-1", &members, 225));
        println!("{count} {}", start.elapsed().as_micros());
    }
}

fn measure(servers: usize) {
    let before = resident_kb();
    let names = names(servers);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut tracker, mut prefix) = (Tracker::default(), Prefix::default());
    let mut now = Duration::from_secs(1);
    for name in &names {
        let report = wire::Report { limit: 64, ..wire::Report::default() };
        tracker.observe(now, name, report);
    }
    let start = Instant::now();
    for round in 0..ROUNDS {
        now += Duration::from_micros(7246);
        let mut body = vec![(round % 200) as u8; 8192];
        body.extend(round.to_le_bytes().repeat(1024));
        let blocks = Prefix::blocks(&body);
        let shares = prefix.shares(now, &blocks);
        let candidates: Vec<Candidate> = names
            .iter()
            .map(|name| Candidate {
                server: name.clone(),
                same_zone: false,
                in_service: true,
                view: tracker.view(now, name),
                in_flight: tracker.in_flight(name),
                cached: shares.get(name).copied().unwrap_or(0.0),
            })
            .collect();
        let Some(index) = choose(&mut rng, &candidates, 3000) else { continue };
        tracker.started(now, &names[index], 3000);
        prefix.record(now, &names[index], &blocks);
    }
    let seconds_per_choice = start.elapsed().as_secs_f64() / f64::from(ROUNDS);
    println!(
        "{servers} {:.1} {:.2} {} {}",
        seconds_per_choice * 1e6,
        seconds_per_choice * REQUESTS_PER_S * 100.0,
        prefix.len(),
        resident_kb().saturating_sub(before)
    );
}

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|i| Name::from(format!("server-{i}"))).collect()
}

/// Resident memory of the process, in kB.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4
}
