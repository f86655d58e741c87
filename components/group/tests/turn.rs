//! Time to relief after other experts come into demand, with ranks that copy
//! experts one after the other, for groups of several sizes.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use group::placement::demand::Reading;
use group::placement::even::{Assignment, Bounds};
use group::switch::{Action, Armed, Leader, Model, Order, Report, Status, Tuning};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const TICK: Duration = Duration::from_millis(20);
const PASS: Duration = Duration::from_millis(80);
const READING: Duration = Duration::from_millis(200);

/// When the demand turns; until then maps have settled.
const TURN: Duration = Duration::from_secs(5);

/// Tokens of a reading of one rank, in each set.
const TOKENS: f64 = 20_000.0;

/// Time from a turn to relief besides the copy of one expert.
const RELIEF: Duration = Duration::from_secs(1);

#[derive(Clone, Default)]
struct Rank {
    map: u64,
    prepared: Option<(u64, Duration)>,
    armed: Option<Armed>,
    held: Option<u64>,
}

/// A group whose orders and reports all arrive, a tick late.
struct World {
    model: Model,
    ranks: Vec<Rank>,
    maps: Vec<(u64, Assignment)>,
    step: u64,
    begun: Duration,
    /// Popularity of each expert, by set.
    popularity: Vec<Vec<f64>>,
    rng: ChaCha8Rng,
}

impl World {
    fn new(model: Model, ranks: usize, exponent: f64) -> World {
        let popularity = |_| (1..=model.experts).map(|place| (place as f64).powf(-exponent));
        World {
            ranks: vec![Rank::default(); ranks],
            maps: vec![(0, Assignment::round_robin(ranks, model.sets, model.experts))],
            step: 1,
            begun: Duration::ZERO,
            popularity: (0..model.sets).map(|set| popularity(set).collect()).collect(),
            rng: ChaCha8Rng::seed_from_u64(7),
            model,
        }
    }

    /// Other experts take over the popularity.
    fn turn(&mut self) {
        for set in &mut self.popularity {
            set.shuffle(&mut self.rng);
        }
    }

    fn map(&self, version: u64) -> &Assignment {
        &self.maps.iter().find(|(known, _)| *known == version).unwrap().1
    }

    fn skew(&self) -> f64 {
        self.map(self.ranks[0].map).skew(&self.popularity)
    }

    fn reading(&mut self) -> Reading {
        let rng = &mut self.rng;
        let sets = self.popularity.iter().map(|set| {
            let all: f64 = set.iter().sum();
            set.iter()
                .map(|share| (share / all * TOKENS * rng.random_range(0.8..1.2)) as u32)
                .collect()
        });
        Reading::new(&sets.collect::<Vec<_>>())
    }

    fn status(&mut self, now: Duration, index: usize, reads: bool) -> Status {
        let rank = self.ranks[index].clone();
        let ready = rank.prepared.filter(|(_, at)| now >= *at);
        let report = Report {
            group: "g".into(),
            epoch: 1,
            rank: index as u32,
            size: self.ranks.len() as u32,
            open: true,
            step: self.step,
            map: rank.map,
            prepared: ready.map_or(0, |(version, _)| version),
            armed: rank.armed,
            held: rank.held,
            sequence: 0,
            slowness: group::switch::NORMAL_SLOWNESS,
        };
        let held = self.map(rank.map).sets.iter().map(|set| set[index].clone()).collect();
        let demand = reads.then(|| self.reading());
        Status { report, experts: Some(held), demand }
    }

    fn carry_out(&mut self, now: Duration, index: usize, order: Order) {
        let current = self.ranks[index].map;
        match order {
            Order::Prepare { version, map } => {
                let before = self.map(current);
                let sets = map.sets.iter().zip(&before.sets);
                let new = |(set, before): (&Vec<Vec<u16>>, &Vec<Vec<u16>>)| {
                    set[index].iter().filter(|expert| !before[index].contains(expert)).count()
                };
                let copies: usize = sets.map(new).sum();
                let rank = &mut self.ranks[index];
                if rank.prepared.is_none_or(|(known, _)| known < version) {
                    rank.prepared = Some((version, now + self.model.copy * copies as u32));
                }
                if self.maps.iter().all(|(known, _)| *known != version) {
                    self.maps.push((version, (*map).clone()));
                }
            }
            Order::Hold { step } if step > self.step => self.ranks[index].held = Some(step),
            Order::Arm { version, step } if step > self.step => {
                self.ranks[index].armed = Some(Armed { version, step });
            }
            Order::Release { step } if self.ranks[index].held == Some(step) => {
                self.ranks[index].held = None;
            }
            _ => {}
        }
    }

    fn pass(&mut self, now: Duration) {
        let next = self.step + 1;
        if now < self.begun + PASS || self.ranks.iter().any(|rank| rank.held == Some(next)) {
            return;
        }
        (self.step, self.begun) = (next, now);
        for rank in &mut self.ranks {
            if let Some(armed) = rank.armed.take_if(|armed| armed.step == next) {
                rank.map = armed.version;
                rank.prepared = None;
            }
        }
    }
}

/// Time from a turn of the demand until the excess over an even load is half
/// of what it was at the turn.
fn relief(model: Model, ranks: usize, exponent: f64) -> Duration {
    let mut world = World::new(model, ranks, exponent);
    let mut leader = Leader::new(Tuning::default(), model, 0, 1);
    let sampled = ranks.div_ceil(16);
    let (mut now, mut excess, mut read) = (Duration::ZERO, None, Duration::ZERO);
    let mut orders: Vec<(usize, Order)> = Vec::new();
    while now < TURN + Duration::from_secs(20) {
        now += TICK;
        for (rank, order) in std::mem::take(&mut orders) {
            world.carry_out(now, rank, order);
        }
        world.pass(now);
        if now >= TURN && excess.is_none() {
            world.turn();
            excess = Some(world.skew() - 1.0);
        }
        if excess.is_some_and(|excess| world.skew() - 1.0 < excess / 2.0) {
            return now - TURN;
        }
        let reads = now >= read + READING;
        if reads {
            read = now;
        }
        for rank in 0..ranks {
            let status = world.status(now, rank, reads && rank % sampled == 0);
            leader.handle_status(now, status);
        }
        for action in leader.step(now) {
            if let Action::Order(rank, order) | Action::Direct(rank, order) = action {
                orders.push((rank as usize, order));
            }
        }
    }
    panic!("no relief");
}

#[rstest]
#[case::slow_links(12, 3, 96, (11, 4), 1.3, 400)]
#[case::many_sets(24, 16, 96, (5, 2), 0.92, 76)]
#[case::few_ranks(12, 4, 72, (8, 3), 1.3, 35)]
#[case::many_ranks(63, 8, 252, (5, 2), 0.65, 5)]
#[case::most_ranks(129, 16, 258, (3, 2), 0.45, 2)]
fn step_relieves_soon_after_turn(
    #[case] ranks: usize,
    #[case] sets: usize,
    #[case] experts: usize,
    #[case] (places, fresh): (usize, usize),
    #[case] exponent: f64,
    #[case] copy_ms: u64,
) {
    let copy = Duration::from_millis(copy_ms);
    let bounds = Bounds { places, fresh, copies: 0, gain: 0.0 };
    let model = Model { sets, experts, bounds, copy, pause: Duration::from_millis(120) };
    let relief = relief(model, ranks, exponent);
    assert!(relief <= RELIEF + copy, "relief after {relief:?}");
}
