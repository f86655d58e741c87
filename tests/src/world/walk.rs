//! A seeded random walk over the faults, with the promises as checks.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tables::Name;

use super::World;
use super::caller::End;

/// Events of one walk.
const EVENTS: u32 = 30;
/// Keys among which the bookings of one walk choose.
const KEYS: u32 = 5;
/// Time for the world to come to rest at the end of a walk.
const REST: Duration = Duration::from_secs(25);
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

/// Walks with one seed. Returns the broken promises.
pub fn walk(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(seed, &ENTRIES, &AGENTS);
    world.run(Duration::from_secs(2));
    for event in 0..EVENTS {
        happen(&mut world, &mut rng, event);
        world.run(Duration::from_millis(rng.random_range(1..40) * 10));
    }
    mend(&mut world);
    world.run(REST);
    settle(&mut world);
    world.journal.violations
}

fn happen(world: &mut World, rng: &mut ChaCha8Rng, event: u32) {
    let processes = ["e1", "e2", "b1", "b2", "m1", "m2", "m3"];
    let process: Name = processes.choose(rng).copied().unwrap_or("e1").into();
    match rng.random_range(0..24) {
        0..=6 => book(world, rng, event),
        7..=10 => chat(world, rng, event),
        11 | 12 => world.kill(&process),
        13 | 14 => restart(world, &process),
        15 => world.freeze(&process, true),
        16 => world.freeze(&process, false),
        17 => world.network.jitter = Duration::from_millis(rng.random_range(0..400)),
        18 => world.network.loss = rng.random_range(0..20),
        19 => world.network.double = rng.random_range(0..30),
        20 => world.platform.down = !world.platform.down,
        21 => world.platform.lose_replies = rng.random_range(0..4),
        22 => {
            let other: Name = processes.choose(rng).copied().unwrap_or("e2").into();
            let cut = rng.random_bool(0.5);
            world.network.cut(&process, &other, cut);
        }
        _ => world.crash_server(&process),
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
    world.platform.down = false;
    world.platform.lose_replies = 0;
    let names: Vec<Name> = world.entries.keys().chain(world.agents.keys()).cloned().collect();
    for name in names {
        if world.entry(&name).is_none() && world.agent(&name).is_none() {
            restart(world, &name);
        }
        world.freeze(&name, false);
    }
}

/// Once all is well, every request has ended and fresh ones are answered.
fn settle(world: &mut World) {
    let open = |end: &Option<End>| end.is_none();
    let left: Vec<String> = world
        .callers
        .iter()
        .filter(|(_, caller)| open(&caller.end))
        .map(|(name, _)| format!("{name} never ended"))
        .collect();
    world.journal.violations.extend(left);
    for entry in ENTRIES {
        world.send(&format!("{entry}-book"), entry, "book", Some(&format!("last-{entry}")), "last");
        world.send(&format!("{entry}-chat"), entry, "chat", None, "last tokens=5");
    }
    world.run(ANSWER);
    for entry in ENTRIES {
        for route in ["book", "chat"] {
            let name = format!("{entry}-{route}");
            let shown = world.callers[&name].show();
            if shown != "whole" {
                world.journal.violations.push(format!("{name} at rest: {shown}"));
            }
        }
    }
}
