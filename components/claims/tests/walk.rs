//! Seeded random walks of several agents on a platform with injected faults.
//!
//! `SEED=n cargo test -p claims --test walk` replays the run with seed `n`.
#![allow(clippy::unwrap_used, dead_code, missing_docs)]

mod common;

use std::time::Duration;

use claims::{Denial, Settings};
use common::World;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Number of seeds per test case.
const SEEDS: u64 = 500;
/// Number of random actions per run.
const ACTIONS: usize = 120;
/// First key of the requests made after the faults; walks use keys below 8.
const FIRST_FRESH_KEY: usize = 1000;

/// Frequency of each kind of fault, in percent of the actions.
#[derive(Clone, Copy, Debug)]
struct Faults {
    crash: u32,
    freeze: u32,
    fail: u32,
    refuse: u32,
}

fn settings() -> Settings {
    Settings {
        pace: Duration::from_millis(2),
        backoff: Duration::from_millis(10),
        backoff_limit: Duration::from_millis(100),
        spill_size: 700,
        batch_limit: 3,
        ..Settings::default()
    }
}

fn act(world: &mut World, rng: &mut ChaCha8Rng, faults: Faults) {
    world.now += Duration::from_millis(rng.random_range(0..6));
    let agent = rng.random_range(0..world.agents.len());
    let mut roll = rng.random_range(0..100);
    let mut occurs = |share: u32| {
        let hit = roll < share;
        roll = if hit { u32::MAX } else { roll.saturating_sub(share) };
        hit
    };
    if occurs(faults.crash) {
        return world.crash(agent);
    }
    if occurs(faults.freeze) {
        world.agents[agent].frozen = !world.agents[agent].frozen;
        return;
    }
    let position = (!world.calls.is_empty()).then(|| rng.random_range(0..world.calls.len()));
    if let Some(position) = position {
        let pending = world.calls[position].reply.is_none();
        let timed_out = world.calls[position].timed_out;
        let frozen = world.agents[world.calls[position].agent].frozen;
        if occurs(faults.fail) {
            if !timed_out && !frozen {
                world.fail(position);
            }
            return;
        }
        if occurs(faults.refuse) {
            if !timed_out && !frozen && pending {
                world.refuse(position);
            }
            return;
        }
        if occurs(45) {
            return match pending {
                true => world.apply(position),
                false if frozen => {}
                false => world.deliver(position),
            };
        }
    }
    if !world.agents[agent].frozen {
        act_as_agent(world, rng, agent);
    }
}

fn act_as_agent(world: &mut World, rng: &mut ChaCha8Rng, agent: usize) {
    let granted = world.agents[agent].granted.len();
    let running = world.agents[agent].running.len();
    match rng.random_range(0..10) {
        0..=2 => {
            let fingerprint = u64::from(rng.random_range(0..20) == 0);
            let caller_timeout = Duration::from_millis(rng.random_range(5..400));
            let key = rng.random_range(0..8);
            world.begin(agent, key, fingerprint, caller_timeout);
        }
        3..=5 if granted > 0 => world.dispatch(agent, rng.random_range(0..granted)),
        6 if granted > 0 => world.abandon(agent, rng.random_range(0..granted)),
        7 if running > 0 => world.finish(agent, rng.random_range(0..running), true),
        8 if running > 0 && rng.random_bool(0.5) => world.finish(agent, 0, false),
        8 if running > 0 && rng.random_bool(0.3) => world.lose(agent, 0),
        _ => world.tick(agent),
    }
}

/// Abandons all granted requests and completes all running ones, without further faults.
fn drain(world: &mut World) {
    world.run_until_idle();
    for agent in 0..world.agents.len() {
        while !world.agents[agent].granted.is_empty() {
            world.abandon(agent, 0);
        }
        while !world.agents[agent].running.is_empty() {
            world.finish(agent, 0, true);
        }
    }
    world.run_until_idle();
}

/// Checks that fresh keys are granted, and without crashes also keys that were never
/// dispatched, and that resends of dispatched keys are denied.
fn check_liveness(world: &mut World, has_crashes: bool) {
    let dispatched = world.dispatched_keys();
    let mut keys: Vec<usize> = (FIRST_FRESH_KEY..FIRST_FRESH_KEY + world.agents.len()).collect();
    if !has_crashes {
        keys.extend((0..8).filter(|key| !dispatched.contains(key)));
    }
    for (index, key) in keys.into_iter().enumerate() {
        let agent = index % world.agents.len();
        let ticket = world.begin(agent, key, 0, Duration::from_secs(5));
        world.run_briefly();
        assert!(world.tickets[ticket].granted, "key {key}: {:?}", world.tickets[ticket]);
    }
    for key in dispatched {
        let run = world.dispatched[&key];
        let fingerprint = world.tickets[run].fingerprint;
        let ticket = world.begin(0, key, fingerprint, Duration::from_secs(5));
        world.run_briefly();
        assert!(world.tickets[ticket].denial.is_some(), "key {key} was not denied");
    }
}

/// Number of outcomes in all runs, to detect walks that no longer exercise the ledger.
#[derive(Clone, Copy, Debug, Default)]
struct Coverage {
    granted: usize,
    finished: usize,
    unknown: usize,
    unavailable: usize,
    segments: usize,
}

impl Coverage {
    fn add(&mut self, world: &World) {
        let denied = |predicate: fn(&Denial) -> bool| {
            world
                .tickets
                .iter()
                .filter(|ticket| ticket.denial.as_ref().is_some_and(predicate))
                .count()
        };
        self.granted += world.tickets.iter().filter(|ticket| ticket.granted).count();
        self.finished += denied(|denial| matches!(denial, Denial::Finished(_)));
        self.unknown += denied(|denial| matches!(denial, Denial::Unknown));
        self.unavailable += denied(|denial| matches!(denial, Denial::Unavailable { .. }));
        self.segments += world.objects.len().saturating_sub(1);
    }
}

fn run(seed: u64, faults: Faults) -> World {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(rng.random_range(2..=3), settings());
    for _ in 0..ACTIONS {
        act(&mut world, &mut rng, faults);
    }
    drain(&mut world);
    check_liveness(&mut world, faults.crash > 0);
    world
}

#[rstest]
#[case::no_faults(Faults { crash: 0, freeze: 0, fail: 0, refuse: 0 })]
#[case::lost_replies(Faults { crash: 0, freeze: 2, fail: 12, refuse: 2 })]
#[case::outage(Faults { crash: 0, freeze: 1, fail: 40, refuse: 10 })]
#[case::crashes(Faults { crash: 3, freeze: 4, fail: 8, refuse: 2 })]
fn claim_random_walk(#[case] faults: Faults) {
    let only = std::env::var("SEED").ok().and_then(|seed| seed.parse::<u64>().ok());
    let seeds = only.map_or(0..SEEDS, |seed| seed..seed + 1);
    let mut coverage = Coverage::default();
    for seed in seeds {
        let result = std::panic::catch_unwind(|| run(seed, faults));
        match result {
            Ok(world) => coverage.add(&world),
            Err(_) => {
                panic!("{faults:?}: replay with SEED={seed} cargo test -p claims --test walk")
            }
        }
    }
    println!("{faults:?}: {coverage:?}");
    if only.is_none() {
        assert!(coverage.granted > 1000 && coverage.finished > 100, "{coverage:?}");
        assert!(coverage.unknown > 100 && coverage.segments > 100, "{coverage:?}");
        assert!(faults.fail == 0 || coverage.unavailable > 100, "{coverage:?}");
    }
}
