//! Seeded random walks of a group through faults. `SEED=n cargo test -p group
//! --test walk` runs only seed `n`.
#![allow(clippy::unwrap_used)]

mod world;

use std::panic::catch_unwind;
use std::time::Duration;

use group::{Input, Rank};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use world::World;

/// Seeds tested by default.
const SEEDS: u64 = 3000;
/// Events per walk before faults stop.
const EVENTS: u32 = 1500;

struct Walk {
    rng: ChaCha8Rng,
    world: World,
    platform_up: bool,
}

impl Walk {
    fn new(seed: u64) -> Walk {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ranks: Rank = rng.random_range(2..=4);
        let block = rng.random_range(1..=4);
        let checks_fence: Vec<bool> = (0..ranks).map(|_| rng.random()).collect();
        let world = World::new(world::settings(ranks, block), |rank| checks_fence[rank]);
        Walk { rng, world, platform_up: true }
    }

    fn event(&mut self) {
        let rank = self.rng.random_range(0..self.world.paused.len());
        self.world.now += Duration::from_millis(self.rng.random_range(0..40));
        match self.rng.random_range(0..1000) {
            0..500 => self.handle_message(),
            500..600 => self.world.run_step(rank),
            600..680 => self.execute_order(rank),
            680..760 if !self.world.paused[rank] => self.world.input(rank, Input::Tick),
            760..840 => self.complete_call(rank),
            840..900 if !self.world.paused[rank] => self.world.poll_engine(rank),
            900..930 => self.world.supply_maps(),
            930..945 => self.change_map(),
            945..952 => self.world.paused[rank] = true,
            952..964 => self.world.paused[rank] = false,
            964..971 => self.world.now += Duration::from_secs(3),
            971..976 => self.kill_agent(rank),
            976..988 if self.world.agents[rank].is_none() => self.world.start_agent(rank),
            988..991 => self.world.kill_engine(rank),
            991..994 => self.platform_up = false,
            994..1000 => self.platform_up = true,
            _ => {}
        }
    }

    fn handle_message(&mut self) {
        if self.world.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.world.messages.len());
        let (to, message) = self.world.messages[index].clone();
        if self.world.paused[usize::from(to)] {
            return;
        }
        match self.rng.random_range(0..20) {
            0 => drop(self.world.messages.swap_remove(index)),
            1 => self.world.input(usize::from(to), Input::Message(message)),
            _ => self.world.deliver(index),
        }
    }

    /// Executes an order, unless the agent is paused and can't handle the reply.
    fn execute_order(&mut self, rank: usize) {
        if !self.world.paused[rank] {
            self.world.execute_order(rank);
        }
    }

    fn complete_call(&mut self, rank: usize) {
        if self.world.paused[rank] {
            return;
        }
        let effect = self.platform_up || self.rng.random_ratio(1, 10);
        let reply = self.platform_up && self.rng.random_ratio(9, 10);
        self.world.complete_call(rank, effect, reply);
    }

    fn change_map(&mut self) {
        let leaders = self.world.leaders();
        for rank in leaders {
            if !self.world.paused[rank] {
                self.world.input(rank, Input::Change(Default::default()));
            }
        }
    }

    fn kill_agent(&mut self, rank: usize) {
        let deliver = self.rng.random();
        self.world.kill_agent(rank, deliver);
    }

    /// Stops all faults and checks that all ranks run further steps and a new map
    /// becomes active.
    fn check_recovery(&mut self) {
        for rank in 0..self.world.paused.len() {
            self.world.paused[rank] = false;
            if self.world.agents[rank].is_none() {
                self.world.start_agent(rank);
            }
        }
        self.world.run_without_faults(100);
        let before = self.world.last_steps.clone();
        self.change_map();
        self.world.run_without_faults(20);
        assert!(self.world.last_steps.iter().all(|last| *last == self.world.last_steps[0]));
        for (last, before) in self.world.last_steps.iter().zip(&before) {
            assert!(last > before && before.is_some(), "no step run: {before:?} to {last:?}");
        }
        let leaders = self.world.leaders();
        assert_eq!(leaders.len(), 1, "leaders {leaders:?}");
        let agent = self.world.agents[leaders[0]].as_ref().unwrap();
        assert!(agent.leader().unwrap().is_map_active(), "the new map is not active");
    }
}

/// Runs one walk. Returns the highest number issued and the count of distinct
/// steps that were run.
fn walk(seed: u64) -> (u32, usize) {
    let mut walk = Walk::new(seed);
    for _ in 0..EVENTS {
        walk.event();
    }
    walk.check_recovery();
    (walk.world.object.unwrap().lease.number, walk.world.step_maps.len())
}

#[rstest]
fn walk_faults(#[values(0, 1, 2, 3, 4, 5)] part: u64) {
    let chosen = std::env::var("SEED").ok().map(|text| text.parse::<u64>().unwrap());
    let mut leaders = 0;
    let mut steps = 0;
    for seed in (0..SEEDS).chain(chosen.filter(|seed| *seed >= SEEDS)) {
        if seed % 6 != part || chosen.is_some_and(|chosen| chosen != seed) {
            continue;
        }
        let Ok((number, count)) = catch_unwind(|| walk(seed)) else {
            panic!("failed: SEED={seed} cargo test -p group --test walk");
        };
        leaders += number;
        steps += count;
    }
    println!("part {part}: {leaders} leaders, {steps} steps");
}
