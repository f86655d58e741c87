//! A seeded random walk over the faults, with the promises as checks.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tables::Name;

use super::World;
use super::caller::End;
use super::server::POISON;

/// Events of one walk.
const EVENTS: u32 = 30;
/// Keys among which the bookings of one walk choose.
const KEYS: u32 = 5;
/// Time for changes to be in force everywhere once nothing is broken.
const FORCE: Duration = Duration::from_secs(8);
/// Time for the world to come to rest at the end of a walk.
const REST: Duration = Duration::from_secs(10);
/// Time to answer a fresh request once all is well.
const ANSWER: Duration = Duration::from_secs(3);

const ENTRIES: [&str; 2] = ["e1", "e2"];
const AGENTS: [(&str, &str, &str); 5] = [
    ("b1", "z1", "book"),
    ("b2", "z2", "book"),
    ("m1", "z1", "chat"),
    ("m2", "z2", "chat"),
    ("m3", "z3", "chat"),
];
const PROCESSES: [&str; 7] = ["e1", "e2", "b1", "b2", "m1", "m2", "m3"];

/// What a walk came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Walk {
    /// Broken promises.
    pub broken: Vec<String>,
    /// Requests that were handed over.
    pub runs: usize,
    /// Changes of operators that were accepted.
    pub changes: usize,
    /// Requests in progress at processes that were told to stop while nothing
    /// was broken.
    pub graceful: usize,
    /// Crashes of backend servers.
    pub crashes: u32,
    /// Requests answered whole.
    pub whole: usize,
}

/// Walks with one seed.
pub fn walk(seed: u64) -> Walk {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(seed, &ENTRIES, &AGENTS);
    world.journal.excuses = true;
    world.exits = true;
    let mut graceful = 0;
    world.run(Duration::from_secs(2));
    for event in 0..EVENTS {
        happen(&mut world, &mut rng, event);
        graceful += std::mem::take(&mut world.graceful);
        let long = rng.random_range(0..12) == 0;
        let pause = if long { rng.random_range(100..500) } else { rng.random_range(1..40) };
        world.run(Duration::from_millis(pause * 10));
    }
    mend(&mut world);
    world.run(FORCE);
    put_back(&mut world);
    world.run(REST);
    settle(&mut world);
    let whole = world.callers.values().filter(|caller| caller.end == Some(End::Whole)).count();
    let servers = AGENTS.iter().filter_map(|(name, _, _)| world.server(name));
    Walk {
        runs: world.journal.runs.len(),
        changes: world.journal.changes.len(),
        graceful,
        crashes: servers.map(|server| server.crashes).sum(),
        whole,
        broken: world.journal.violations,
    }
}

fn happen(world: &mut World, rng: &mut ChaCha8Rng, event: u32) {
    let process: Name = PROCESSES.choose(rng).copied().unwrap_or("e1").into();
    match rng.random_range(0..50) {
        0..=9 => book(world, rng, event),
        10..=16 => chat(world, rng, event),
        17 => hang_up(world, rng),
        18 | 19 => operate(world, rng),
        20 | 21 => race(world, rng, event),
        22..=24 => stop(world, rng, &process, event),
        25..=27 => mend(world),
        _ => {
            world.journal.graceful.clear();
            break_something(world, rng, &process);
        }
    }
}

fn break_something(world: &mut World, rng: &mut ChaCha8Rng, process: &Name) {
    match rng.random_range(0..24) {
        0 | 1 => world.kill(process),
        2..=4 => restart(world, process),
        5 | 6 => world.freeze(process, true),
        7 => world.freeze(process, false),
        8 => world.network.jitter = Duration::from_millis(rng.random_range(0..400)),
        9 => world.network.loss = rng.random_range(0..20),
        10 => world.network.double = rng.random_range(0..30),
        11 => world.platform.down = !world.platform.down,
        12 => world.platform.lose_replies = rng.random_range(0..4),
        13 | 14 => {
            let other: Name = PROCESSES.choose(rng).copied().unwrap_or("e2").into();
            let cut = rng.random_bool(0.7);
            world.network.cut(process, &other, cut);
        }
        15 => world.crash_server(process),
        16 => world.chill(process),
        17 => poison(world, rng),
        18 => world.list(process, false),
        19 => world.list(process, true),
        20 | 21 => world.blind(process, true),
        22 => world.blind(process, false),
        _ => world.platform.slow = Duration::from_millis(rng.random_range(0..600)),
    }
}

/// Operators take a zone or a backend server out, or return it.
fn operate(world: &mut World, rng: &mut ChaCha8Rng) {
    let out = rng.random_bool(0.6);
    if rng.random_bool(0.5) {
        let zone = ["z1", "z2", "z3"].choose(rng).copied().unwrap_or("z1");
        world.set_zone(zone, out);
    } else {
        let (server, _, _) = AGENTS.choose(rng).copied().unwrap_or(AGENTS[0]);
        world.set_server(server, out);
    }
}

/// Two operators read the same row and change it, one after the other.
fn race(world: &mut World, rng: &mut ChaCha8Rng, event: u32) {
    let path = |number: u32| {
        let path = format!("/race-{number:03}");
        json!({"path": path, "pools": ["book"], "idempotent": true, "timeout_ms": 8_000})
    };
    let limit = |limit: u32| json!({"kind": "service", "limit": limit});
    let (kind, name, first, second) = match rng.random_bool(0.5) {
        true => ("route", "race", path(2 * event + 1), path(2 * event + 2)),
        false => ("pool", "book", limit(rng.random_range(3..=8)), limit(rng.random_range(3..=8))),
    };
    let seen = world.expect(kind, name);
    let first = world.change_if(kind, name, seen, first);
    let second = world.change_if(kind, name, seen, second);
    if first.is_some() == second.is_some() && !world.platform.down {
        let broken = format!("two operators changed {kind} {name}: {first:?}, {second:?}");
        world.journal.violations.push(broken);
    }
}

fn book(world: &mut World, rng: &mut ChaCha8Rng, event: u32) {
    let key = format!("k{}", rng.random_range(0..KEYS));
    let work = rng.random_range(1..30) * 20;
    let body = format!("{key} work={work}");
    let entry = ENTRIES.choose(rng).copied().unwrap_or("e1");
    // Some send a key again with another body, some without any key.
    let (key, body) = match rng.random_range(0..10) {
        0 => (Some(key), format!("{body} other")),
        1 => (None, body),
        _ => (Some(key.clone()), format!("{key} work=100")),
    };
    world.send(&format!("r{event}"), entry, "book", key.as_deref(), &body);
}

fn chat(world: &mut World, rng: &mut ChaCha8Rng, event: u32) {
    let body = format!("r{event} tokens={}", rng.random_range(5..60));
    let entry = ENTRIES.choose(rng).copied().unwrap_or("e1");
    world.send(&format!("r{event}"), entry, "chat", None, &body);
}

/// A process is told to stop just after work came.
fn stop(world: &mut World, rng: &mut ChaCha8Rng, process: &Name, event: u32) {
    if rng.random_bool(0.5) {
        book(world, rng, event);
    } else {
        chat(world, rng, event);
    }
    world.run(Duration::from_millis(60));
    world.stop(process);
}

/// The same request crashes each engine that runs it, and is sent again.
fn poison(world: &mut World, rng: &mut ChaCha8Rng) {
    let entry = ENTRIES.choose(rng).copied().unwrap_or("e1");
    let number = world.callers.len();
    world.send(&format!("p{number}"), entry, "chat", None, POISON);
}

fn hang_up(world: &mut World, rng: &mut ChaCha8Rng) {
    let open = world.callers.iter().filter(|(_, caller)| caller.end.is_none());
    let open: Vec<String> = open.map(|(name, _)| name.clone()).collect();
    if let Some(name) = open.choose(rng) {
        world.hang_up(name);
    }
}

fn restart(world: &mut World, process: &Name) {
    world.kill(process);
    if world.entries.contains_key(process) {
        world.start_entry(process);
    } else {
        world.start_agent(process);
    }
}

fn mend(world: &mut World) {
    world.network.heal();
    world.platform.mend();
    for name in PROCESSES {
        let name: Name = name.into();
        if world.entry(&name).is_none() && world.agent(&name).is_none() {
            restart(world, &name);
        }
        world.freeze(&name, false);
        world.blind(&name, false);
        if world.unlisted.contains(&name) {
            world.list(&name, true);
        }
    }
}

/// Returns what is out, and replaces what has been told to stop.
fn put_back(world: &mut World) {
    for zone in ["z1", "z2", "z3"] {
        if world.journal.zones_out.contains_key(zone) {
            world.set_zone(zone, false);
        }
    }
    for (server, _, _) in AGENTS {
        if world.journal.servers_out.contains_key(server) {
            world.set_server(server, false);
        }
    }
    mend(world);
}

/// Once all is well, every request has ended, fresh ones are answered, and the
/// last accepted change of a row is in force, and no other.
fn settle(world: &mut World) {
    mend(world);
    world.run(ANSWER);
    let open = |end: &Option<End>| end.is_none();
    let left: Vec<String> = world
        .callers
        .iter()
        .filter(|(_, caller)| open(&caller.end))
        .map(|(name, _)| format!("{name} never ended"))
        .collect();
    world.journal.violations.extend(left);
    let paths = paths(world);
    for entry in ENTRIES {
        world.send(&format!("{entry}-book"), entry, "book", Some(&format!("last-{entry}")), "last");
        world.send(&format!("{entry}-chat"), entry, "chat", None, "last tokens=5");
        for path in &paths {
            world.send(&format!("{entry}-{path}"), entry, path, None, "last");
        }
    }
    world.run(ANSWER);
    for entry in ENTRIES {
        expect(world, &format!("{entry}-book"), "whole");
        expect(world, &format!("{entry}-chat"), "whole");
        for (index, path) in paths.iter().enumerate() {
            let last = index + 1 == paths.len();
            let end = if last { "whole" } else { "no_route not_run" };
            expect(world, &format!("{entry}-{path}"), end);
        }
    }
}

/// The paths that a route has had, the last one in force.
fn paths(world: &World) -> Vec<String> {
    let races = world.journal.changes.iter().filter(|change| change.kind == "route");
    let paths = races.filter_map(|change| change.value["path"].as_str());
    let first = std::iter::once("race-000".to_owned());
    first.chain(paths.map(|path| path.trim_start_matches('/').to_owned())).collect()
}

fn expect(world: &mut World, name: &str, end: &str) {
    let shown = world.callers[name].show();
    if shown != end {
        world.journal.violations.push(format!("{name} at rest: {shown}, not {end}"));
    }
}
