//! Seeded random walks of a group through faults. `SEED=n cargo test -p group
//! --test walk` runs one seed alone.
#![allow(clippy::unwrap_used)]

mod world;

use std::panic::catch_unwind;
use std::time::Duration;

use group::{Input, Rank};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use world::World;

/// Seeds of the walk.
const SEEDS: u64 = 3000;
/// Events of one walk with faults.
const EVENTS: u32 = 1500;

struct Walk {
    rng: ChaCha8Rng,
    world: World,
    platform: bool,
}

impl Walk {
    fn new(seed: u64) -> Walk {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ranks: Rank = rng.random_range(2..=4);
        let block = rng.random_range(1..=4);
        let obeys: Vec<bool> = (0..ranks).map(|_| rng.random()).collect();
        let world = World::new(world::settings(ranks, block), |rank| obeys[rank]);
        Walk { rng, world, platform: true }
    }

    fn event(&mut self) {
        let rank = self.rng.random_range(0..self.world.frozen.len());
        self.world.now += Duration::from_millis(self.rng.random_range(0..40));
        match self.rng.random_range(0..1000) {
            0..500 => self.message(),
            500..600 => self.world.run(rank),
            600..680 => self.engine(rank),
            680..760 if !self.world.frozen[rank] => self.world.input(rank, Input::Tick),
            760..840 => self.platform(rank),
            840..900 if !self.world.frozen[rank] => self.world.poll(rank),
            900..930 => self.world.supply(),
            930..945 => self.change(),
            945..952 => self.world.frozen[rank] = true,
            952..964 => self.world.frozen[rank] = false,
            964..971 => self.world.now += Duration::from_secs(3),
            971..976 => self.kill(rank),
            976..988 if self.world.agents[rank].is_none() => self.world.start_agent(rank),
            988..991 => self.world.kill_engine(rank),
            991..994 => self.platform = false,
            994..1000 => self.platform = true,
            _ => {}
        }
    }

    fn message(&mut self) {
        if self.world.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.world.messages.len());
        let (to, message) = self.world.messages[index].clone();
        if self.world.frozen[usize::from(to)] {
            return;
        }
        match self.rng.random_range(0..20) {
            0 => drop(self.world.messages.swap_remove(index)),
            1 => self.world.input(usize::from(to), Input::Message(message)),
            _ => self.world.deliver(index),
        }
    }

    /// The engine's replies wait while its agent is frozen.
    fn engine(&mut self, rank: usize) {
        if !self.world.frozen[rank] {
            self.world.order(rank);
        }
    }

    fn platform(&mut self, rank: usize) {
        if self.world.frozen[rank] {
            return;
        }
        let effect = self.platform || self.rng.random_ratio(1, 10);
        let reply = self.platform && self.rng.random_ratio(9, 10);
        self.world.answer(rank, effect, reply);
    }

    fn change(&mut self) {
        let leaders = self.world.leaders();
        for rank in leaders {
            if !self.world.frozen[rank] {
                self.world.input(rank, Input::Change(Default::default()));
            }
        }
    }

    fn kill(&mut self, rank: usize) {
        let arrive = self.rng.random();
        self.world.kill_agent(rank, arrive);
    }

    /// Once faults cease, all ranks run on and a new map takes effect.
    fn heal(&mut self) {
        for rank in 0..self.world.frozen.len() {
            self.world.frozen[rank] = false;
            if self.world.agents[rank].is_none() {
                self.world.start_agent(rank);
            }
        }
        self.world.calm(100);
        let before = self.world.last.clone();
        self.change();
        self.world.calm(20);
        assert!(self.world.last.iter().all(|last| *last == self.world.last[0]));
        for (last, before) in self.world.last.iter().zip(&before) {
            assert!(last > before && before.is_some(), "no step run: {before:?} to {last:?}");
        }
        let leaders = self.world.leaders();
        assert_eq!(leaders.len(), 1, "leaders {leaders:?}");
        let agent = self.world.agents[leaders[0]].as_ref().unwrap();
        assert!(agent.leader().unwrap().is_in_force(), "the new map is not in force");
    }
}

/// Returns the highest number and the number of steps.
fn walk(seed: u64) -> (u32, usize) {
    let mut walk = Walk::new(seed);
    for _ in 0..EVENTS {
        walk.event();
    }
    walk.heal();
    (walk.world.object.unwrap().lease.number, walk.world.maps.len())
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
