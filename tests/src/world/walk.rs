//! Seeded random walks over faults, with invariant checks.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tables::Name;

use super::World;
use super::caller::End;
use super::server::POISON;

/// Number of events in one walk.
const EVENT_COUNT: u32 = 30;
/// Number of idempotency keys shared by the bookings of one walk.
const KEY_COUNT: u32 = 5;
/// Time for changes to take effect everywhere once no fault is active.
const PROPAGATION_TIME: Duration = Duration::from_secs(8);
/// Time for the system to settle at the end of a walk.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Time to answer a new request once the system has settled.
const ANSWER_TIME: Duration = Duration::from_secs(3);

const ENTRIES: [&str; 2] = ["e1", "e2"];
const AGENTS: [(&str, &str, &str); 5] = [
    ("b1", "z1", "book"),
    ("b2", "z2", "book"),
    ("m1", "z1", "chat"),
    ("m2", "z2", "chat"),
    ("m3", "z3", "chat"),
];
const PROCESSES: [&str; 7] = ["e1", "e2", "b1", "b2", "m1", "m2", "m3"];

/// The result of a walk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Walk {
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Number of dispatched requests.
    pub runs: usize,
    /// Number of accepted operator changes.
    pub changes: usize,
    /// Number of requests in progress at processes that were stopped while no
    /// fault was active.
    pub graceful: usize,
    /// Number of backend server crashes.
    pub crashes: u32,
    /// Number of requests with a complete answer.
    pub completed: usize,
}

/// Runs the walk of one seed.
pub fn walk(seed: u64) -> Walk {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(seed, &ENTRIES, &AGENTS);
    world.journal.exempt_isolated = true;
    world.exit_when_drained = true;
    let mut graceful = 0;
    world.run(Duration::from_secs(2));
    for event in 0..EVENT_COUNT {
        apply_random_event(&mut world, &mut rng, event);
        graceful += std::mem::take(&mut world.graceful);
        let long = rng.random_range(0..12) == 0;
        let pause = if long { rng.random_range(100..500) } else { rng.random_range(1..40) };
        world.run(Duration::from_millis(pause * 10));
    }
    clear_faults(&mut world);
    world.run(PROPAGATION_TIME);
    restore_service(&mut world);
    world.run(SETTLE_TIME);
    check_final_state(&mut world);
    let completed =
        world.callers.values().filter(|caller| caller.end == Some(End::Complete)).count();
    let servers = AGENTS.iter().filter_map(|(name, _, _)| world.server(name));
    Walk {
        runs: world.journal.runs.len(),
        changes: world.journal.changes.len(),
        graceful,
        crashes: servers.map(|server| server.crashes).sum(),
        completed,
        violations: world.journal.violations,
    }
}

fn apply_random_event(world: &mut World, rng: &mut ChaCha8Rng, event: u32) {
    let process: Name = PROCESSES.choose(rng).copied().unwrap_or("e1").into();
    match rng.random_range(0..50) {
        0..=9 => book(world, rng, event),
        10..=16 => chat(world, rng, event),
        17 => disconnect_caller(world, rng),
        18 | 19 => change_service_state(world, rng),
        20 | 21 => race_operators(world, rng, event),
        22..=24 => stop(world, rng, &process, event),
        25..=27 => clear_faults(world),
        _ => {
            world.journal.graceful.clear();
            inject_fault(world, rng, &process);
        }
    }
}

fn inject_fault(world: &mut World, rng: &mut ChaCha8Rng, process: &Name) {
    match rng.random_range(0..24) {
        0 | 1 => world.kill(process),
        2..=4 => restart(world, process),
        5 | 6 => world.set_frozen(process, true),
        7 => world.set_frozen(process, false),
        8 => world.network.jitter = Duration::from_millis(rng.random_range(0..400)),
        9 => world.network.loss = rng.random_range(0..20),
        10 => world.network.duplication = rng.random_range(0..30),
        11 => world.platform.down = !world.platform.down,
        12 => world.platform.lose_replies = rng.random_range(0..4),
        13 | 14 => {
            let other: Name = PROCESSES.choose(rng).copied().unwrap_or("e2").into();
            let cut = rng.random_bool(0.7);
            world.network.set_partitioned(process, &other, cut);
        }
        15 => world.crash_server(process),
        16 => world.make_cold(process),
        17 => poison(world, rng),
        18 => world.set_listed(process, false),
        19 => world.set_listed(process, true),
        20 | 21 => world.set_isolated(process, true),
        22 => world.set_isolated(process, false),
        _ => world.platform.extra_delay = Duration::from_millis(rng.random_range(0..600)),
    }
}

/// Takes a random zone or backend server out of service, or returns it.
fn change_service_state(world: &mut World, rng: &mut ChaCha8Rng) {
    let out = rng.random_bool(0.6);
    if rng.random_bool(0.5) {
        let zone = ["z1", "z2", "z3"].choose(rng).copied().unwrap_or("z1");
        world.set_zone(zone, out);
    } else {
        let (server, _, _) = AGENTS.choose(rng).copied().unwrap_or(AGENTS[0]);
        world.set_server(server, out);
    }
}

/// Two operators change a row, based on the same version: one must win.
fn race_operators(world: &mut World, rng: &mut ChaCha8Rng, event: u32) {
    let path = |number: u32| {
        let path = format!("/race-{number:03}");
        json!({"path": path, "pools": ["book"], "idempotent": true, "timeout_ms": 8_000})
    };
    let limit = |limit: u32| json!({"kind": "service", "limit": limit});
    let (kind, name, first, second) = match rng.random_bool(0.5) {
        true => ("route", "race", path(2 * event + 1), path(2 * event + 2)),
        false => ("pool", "book", limit(rng.random_range(3..=8)), limit(rng.random_range(3..=8))),
    };
    let seen = world.row_version(kind, name);
    let first = world.put_row_if(kind, name, seen, first);
    let second = world.put_row_if(kind, name, seen, second);
    if first.is_some() == second.is_some() && !world.platform.down {
        let violation = format!("two operators changed {kind} {name}: {first:?}, {second:?}");
        world.journal.violations.push(violation);
    }
}

fn book(world: &mut World, rng: &mut ChaCha8Rng, event: u32) {
    let key = format!("k{}", rng.random_range(0..KEY_COUNT));
    let work = rng.random_range(1..30) * 20;
    let body = format!("{key} work={work}");
    let entry = ENTRIES.choose(rng).copied().unwrap_or("e1");
    // Some bookings reuse a key with another body, some have no key.
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

/// Stops a process shortly after a request arrived.
fn stop(world: &mut World, rng: &mut ChaCha8Rng, process: &Name, event: u32) {
    if rng.random_bool(0.5) {
        book(world, rng, event);
    } else {
        chat(world, rng, event);
    }
    world.run(Duration::from_millis(60));
    world.stop(process);
}

/// Sends a request that crashes each engine that runs it.
fn poison(world: &mut World, rng: &mut ChaCha8Rng) {
    let entry = ENTRIES.choose(rng).copied().unwrap_or("e1");
    let number = world.callers.len();
    world.send(&format!("p{number}"), entry, "chat", None, POISON);
}

fn disconnect_caller(world: &mut World, rng: &mut ChaCha8Rng) {
    let open = world.callers.iter().filter(|(_, caller)| caller.end.is_none());
    let open: Vec<String> = open.map(|(name, _)| name.clone()).collect();
    if let Some(name) = open.choose(rng) {
        world.disconnect_caller(name);
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

fn clear_faults(world: &mut World) {
    world.network.clear_faults();
    world.platform.clear_faults();
    for name in PROCESSES {
        let name: Name = name.into();
        if world.entry(&name).is_none() && world.agent(&name).is_none() {
            restart(world, &name);
        }
        world.set_frozen(&name, false);
        world.set_isolated(&name, false);
        if world.unlisted.contains(&name) {
            world.set_listed(&name, true);
        }
    }
}

/// Returns zones and servers to service, and clears all faults.
fn restore_service(world: &mut World) {
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
    clear_faults(world);
}

/// Checks that every request has ended, that new ones are answered, and that
/// only the last accepted change of a row is in force.
fn check_final_state(world: &mut World) {
    clear_faults(world);
    world.run(ANSWER_TIME);
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
    world.run(ANSWER_TIME);
    for entry in ENTRIES {
        expect_end(world, &format!("{entry}-book"), "whole");
        expect_end(world, &format!("{entry}-chat"), "whole");
        for (index, path) in paths.iter().enumerate() {
            let last = index + 1 == paths.len();
            let end = if last { "whole" } else { "no_route not_run" };
            expect_end(world, &format!("{entry}-{path}"), end);
        }
    }
}

/// All paths of the changed route, the one in force last.
fn paths(world: &World) -> Vec<String> {
    let races = world.journal.changes.iter().filter(|change| change.kind == "route");
    let paths = races.filter_map(|change| change.value["path"].as_str());
    let first = std::iter::once("race-000".to_owned());
    first.chain(paths.map(|path| path.trim_start_matches('/').to_owned())).collect()
}

fn expect_end(world: &mut World, name: &str, end: &str) {
    let shown = world.callers[name].summary();
    if shown != end {
        world.journal.violations.push(format!("{name} at rest: {shown}, not {end}"));
    }
}
