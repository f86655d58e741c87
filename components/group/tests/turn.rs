//! Time to rebalance a group after the demand shifts to other experts, for groups
//! of several sizes whose ranks copy experts one after the other.
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
const STEP_TIME: Duration = Duration::from_millis(80);
const READING_INTERVAL: Duration = Duration::from_millis(200);

/// When the demand shifts. The maps have converged by then.
const SHIFT_AT: Duration = Duration::from_secs(5);

/// Tokens in a reading of one rank, per set.
const TOKENS_PER_SET: f64 = 20_000.0;

/// Longest time to rebalance after a shift, besides the copy of one expert.
const REBALANCE_LIMIT: Duration = Duration::from_secs(1);

#[derive(Clone, Default)]
struct Rank {
    map: u64,
    prepared: Option<(u64, Duration)>,
    armed: Option<Armed>,
    held: Option<u64>,
}

/// A simulated group. All orders and reports arrive, one tick late.
struct World {
    model: Model,
    ranks: Vec<Rank>,
    maps: Vec<(u64, Assignment)>,
    step: u64,
    step_started: Duration,
    /// Popularity of each expert, by set.
    popularity: Vec<Vec<f64>>,
    rng: ChaCha8Rng,
}

impl World {
    fn new(model: Model, ranks: usize, exponent: f64) -> World {
        let popularity = |_| (1..=model.experts).map(|position| (position as f64).powf(-exponent));
        World {
            ranks: vec![Rank::default(); ranks],
            maps: vec![(0, Assignment::round_robin(ranks, model.sets, model.experts))],
            step: 1,
            step_started: Duration::ZERO,
            popularity: (0..model.sets).map(|set| popularity(set).collect()).collect(),
            rng: ChaCha8Rng::seed_from_u64(7),
            model,
        }
    }

    /// Shifts the popularity to other experts.
    fn shift_demand(&mut self) {
        for set in &mut self.popularity {
            set.shuffle(&mut self.rng);
        }
    }

    fn map(&self, version: u64) -> &Assignment {
        &self.maps.iter().find(|(other, _)| *other == version).unwrap().1
    }

    fn skew(&self) -> f64 {
        self.map(self.ranks[0].map).skew(&self.popularity)
    }

    fn reading(&mut self) -> Reading {
        let rng = &mut self.rng;
        let sets = self.popularity.iter().map(|set| {
            let all: f64 = set.iter().sum();
            set.iter()
                .map(|share| (share / all * TOKENS_PER_SET * rng.random_range(0.8..1.2)) as u32)
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

    fn execute(&mut self, now: Duration, index: usize, order: Order) {
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
                if rank.prepared.is_none_or(|(latest, _)| latest < version) {
                    rank.prepared = Some((version, now + self.model.copy * copies as u32));
                }
                if self.maps.iter().all(|(other, _)| *other != version) {
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

    fn advance(&mut self, now: Duration) {
        let next = self.step + 1;
        if now < self.step_started + STEP_TIME
            || self.ranks.iter().any(|rank| rank.held == Some(next))
        {
            return;
        }
        (self.step, self.step_started) = (next, now);
        for rank in &mut self.ranks {
            if let Some(armed) = rank.armed.take_if(|armed| armed.step == next) {
                rank.map = armed.version;
                rank.prepared = None;
            }
        }
    }
}

/// Time from the demand shift until the excess over a balanced load is half of its
/// value right after the shift.
fn rebalance_time(model: Model, ranks: usize, exponent: f64) -> Duration {
    let mut world = World::new(model, ranks, exponent);
    let mut leader = Leader::new(Tuning::default(), model, 0, 1);
    let sampled = ranks.div_ceil(16);
    let (mut now, mut excess, mut read) = (Duration::ZERO, None, Duration::ZERO);
    let mut orders: Vec<(usize, Order)> = Vec::new();
    while now < SHIFT_AT + Duration::from_secs(20) {
        now += TICK;
        for (rank, order) in std::mem::take(&mut orders) {
            world.execute(now, rank, order);
        }
        world.advance(now);
        if now >= SHIFT_AT && excess.is_none() {
            world.shift_demand();
            excess = Some(world.skew() - 1.0);
        }
        if excess.is_some_and(|excess| world.skew() - 1.0 < excess / 2.0) {
            return now - SHIFT_AT;
        }
        let reads = now >= read + READING_INTERVAL;
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
    panic!("not rebalanced within 20 s");
}

#[rstest]
#[case::slow_links(12, 3, 96, (11, 4), 1.3, 400)]
#[case::many_sets(24, 16, 96, (5, 2), 0.92, 76)]
#[case::few_ranks(12, 4, 72, (8, 3), 1.3, 35)]
#[case::many_ranks(63, 8, 252, (5, 2), 0.65, 5)]
#[case::most_ranks(129, 16, 258, (3, 2), 0.45, 2)]
fn step_rebalances_after_demand_shift(
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
    let time = rebalance_time(model, ranks, exponent);
    assert!(time <= REBALANCE_LIMIT + copy, "rebalanced after {time:?}");
}
