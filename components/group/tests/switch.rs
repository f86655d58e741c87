//! Changes of the expert map over a model of ranks that lose answers, carry
//! out orders late, restart, and are led by several leaders in turn.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use group::placement::even::{Assignment, Bounds};
use group::switch::{Action, Armed, Leader, Model, Order, Report, Status, Tuning};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RANKS: u32 = 3;
const SETS: usize = 1;
const EXPERTS: usize = 6;
const MODEL: Model =
    Model { sets: SETS, experts: EXPERTS, bounds: Bounds { places: 4, fresh: 2, gain: 0.0 } };

/// A rank as the platform's protocol describes it.
#[derive(Clone, Debug, Default)]
struct Rank {
    epoch: u64,
    maps: BTreeMap<u64, Vec<u16>>,
    highest: u64,
    map: u64,
    prepared: u64,
    armed: Option<Armed>,
    held: Option<u64>,
}

/// The group and what is on its way.
struct World {
    rng: ChaCha8Rng,
    ranks: Vec<Rank>,
    step: u64,
    late: Vec<(u64, usize, u64, Order)>,
    now: Duration,
    faults: bool,
}

impl World {
    fn new(seed: u64) -> World {
        let ranks = vec![Rank { epoch: 1, ..Rank::default() }; RANKS as usize];
        let rng = ChaCha8Rng::seed_from_u64(seed);
        World { rng, ranks, step: 0, late: Vec::new(), now: Duration::ZERO, faults: true }
    }

    /// An order arrives: carried out, lost, or carried out later.
    fn arrive(&mut self, rank: usize, epoch: u64, order: Order) {
        match self.rng.random_range(0..10) {
            0 | 1 if self.faults => {
                let at = self.step + self.rng.random_range(1..30);
                self.late.push((at, rank, epoch, order));
            }
            2 if self.faults => {}
            _ => self.carry_out(rank, epoch, &order),
        }
    }

    fn carry_out(&mut self, index: usize, epoch: u64, order: &Order) {
        let step = self.step;
        let rank = &mut self.ranks[index];
        if rank.epoch != epoch {
            return;
        }
        match order {
            Order::Prepare { version, map } => {
                if *version > rank.highest && rank.armed.is_none() {
                    rank.highest = *version;
                    rank.prepared = *version;
                    rank.maps.insert(*version, map.sets[0][index].clone());
                }
            }
            Order::Hold { step: at } => {
                if *at > step && rank.held.is_none() {
                    rank.held = Some(*at);
                }
            }
            Order::Arm { version, step: at } => {
                if *at > step && rank.prepared == *version && rank.armed.is_none() {
                    rank.armed = Some(Armed { version: *version, step: *at });
                }
            }
            Order::Release { step: at } => {
                if rank.held == Some(*at) {
                    rank.held = None;
                }
            }
        }
    }

    /// Begins the next pass unless a rank holds it, and checks the maps.
    fn pass(&mut self, seed: u64) {
        let next = self.step + 1;
        if self.ranks.iter().any(|rank| rank.held == Some(next)) {
            return;
        }
        self.step = next;
        for rank in &mut self.ranks {
            if let Some(armed) = rank.armed.filter(|armed| armed.step == next) {
                rank.map = armed.version;
                rank.armed = None;
                rank.prepared = 0;
            }
        }
        let map = self.ranks[0].map;
        assert!(
            self.ranks.iter().all(|rank| rank.map == map),
            "seed {seed}: pass {next} under several maps: {:?}",
            self.ranks
        );
        let due: Vec<_> = self.late.iter().filter(|late| late.0 <= next).cloned().collect();
        self.late.retain(|late| late.0 > next);
        for (_, rank, epoch, order) in due {
            self.carry_out(rank, epoch, &order);
        }
    }

    /// A rank crashed and is back: a new epoch with map 0 and nothing prepared.
    fn restart(&mut self) {
        let epoch = self.ranks[0].epoch + 1;
        self.ranks = vec![Rank { epoch, ..Rank::default() }; RANKS as usize];
    }

    fn status(&mut self, index: usize, demand: bool) -> Status {
        let rank = &self.ranks[index];
        let dealt: Vec<u16> = (index..EXPERTS).step_by(RANKS as usize).map(|e| e as u16).collect();
        let held = if rank.map == 0 { dealt } else { rank.maps[&rank.map].clone() };
        let report = Report {
            group: "g".into(),
            epoch: rank.epoch,
            rank: index as u32,
            size: RANKS,
            open: true,
            step: self.step,
            map: rank.map,
            prepared: rank.prepared,
            armed: rank.armed,
            held: rank.held,
            sequence: 0,
        };
        let tokens = (0..EXPERTS).map(|_| self.rng.random_range(1..4000)).collect();
        Status { report, experts: Some(vec![held]), demand: demand.then(|| vec![tokens]) }
    }

    fn tell_all(&mut self, leader: &mut Leader) {
        for index in 0..RANKS as usize {
            if self.faults && self.rng.random_range(0..4) == 0 {
                continue;
            }
            let status = self.status(index, true);
            leader.hear(self.now, status);
        }
    }

    fn obey(&mut self, leader: &mut Leader, done: &mut usize) {
        let epoch = leader.epoch();
        for action in leader.step(self.now) {
            match action {
                Action::Order(rank, order) => self.arrive(rank as usize, epoch, order),
                Action::Done(_) => *done += 1,
                _ => {}
            }
        }
    }
}

fn leader(own: u32, tag: u64) -> Leader {
    let tuning = Tuning { least_tokens: 10.0, least_gain: (0.01, 0.01), ..Tuning::default() };
    Leader::new(tuning, MODEL, own, tag)
}

/// Leaders come and go; with faults at an end the group runs on.
fn walk(seed: u64) -> usize {
    let mut world = World::new(seed);
    let mut current = leader(0, 1);
    let mut done = 0;
    for tick in 0..1200_u64 {
        world.now += Duration::from_millis(25);
        world.faults = tick < 900;
        world.tell_all(&mut current);
        world.obey(&mut current, &mut done);
        if world.rng.random_range(0..2) == 0 {
            world.pass(seed);
        }
        if world.faults && world.rng.random_range(0..60) == 0 {
            // The leader is gone; another one knows nothing of its plans.
            current = leader(world.rng.random_range(0..RANKS), tick + 2);
        }
        if world.faults && world.rng.random_range(0..250) == 0 {
            world.restart();
        }
    }
    let before = world.step;
    for _ in 0..400 {
        world.now += Duration::from_millis(25);
        world.tell_all(&mut current);
        world.obey(&mut current, &mut done);
        world.pass(seed);
    }
    assert!(world.step > before + 200, "seed {seed}: the group stands still: {:?}", world.ranks);
    done
}

#[test]
fn step_walk_keeps_one_map() {
    let done: usize = (0..300).map(walk).sum();
    assert!(done > 300, "only {done} changes in all");
}

#[test]
fn step_change_in_order() {
    let mut world = World::new(1);
    world.faults = false;
    let mut first = leader(0, 1);
    let mut orders = Vec::new();
    let mut now = Duration::ZERO;
    for _ in 0..200 {
        now += Duration::from_millis(25);
        for index in 0..RANKS as usize {
            let mut status = world.status(index, false);
            status.demand = Some(vec![vec![9000, 10, 10, 10, 10, 10]]);
            first.hear(now, status);
        }
        for action in first.step(now) {
            if let Action::Order(rank, order) = action {
                orders.push(format!("{order:?}").split(' ').next().unwrap().to_owned());
                world.carry_out(rank as usize, 1, &order);
            }
        }
        world.pass(1);
        if world.ranks[0].map > 0 {
            break;
        }
    }
    let expected =
        ["Prepare", "Prepare", "Prepare", "Hold", "Arm", "Arm", "Arm", "Release"].map(String::from);
    assert_eq!(orders, expected);
    assert!(world.ranks[0].map > 0);
}

#[test]
fn step_without_all_ranks_does_nothing() {
    let mut world = World::new(1);
    let mut alone = leader(0, 1);
    let status = world.status(0, true);
    alone.hear(Duration::ZERO, status);
    assert!(alone.step(Duration::from_secs(1)).is_empty());
}

/// A hold that a dead leader left behind before any map was ready everywhere.
#[test]
fn step_releases_stray_hold() {
    let mut world = World::new(1);
    world.ranks[1].held = Some(40);
    let mut next = leader(0, 1);
    for index in 0..RANKS as usize {
        let status = world.status(index, false);
        next.hear(Duration::ZERO, status);
    }
    let actions = next.step(Duration::ZERO);
    assert_eq!(actions, [Action::Order(1, Order::Release { step: 40 })]);
}

/// A dead leader held a pass and armed one rank: the others follow first.
#[test]
fn step_finishes_what_another_began() {
    let mut world = World::new(1);
    for rank in &mut world.ranks {
        rank.prepared = 5;
    }
    world.ranks[0].held = Some(40);
    world.ranks[2].armed = Some(Armed { version: 5, step: 40 });
    let mut next = leader(1, 1);
    for index in 0..RANKS as usize {
        let status = world.status(index, false);
        next.hear(Duration::ZERO, status);
    }
    let arm = |rank| Action::Order(rank, Order::Arm { version: 5, step: 40 });
    assert_eq!(next.step(Duration::ZERO), [arm(0), arm(1)]);
}

#[test]
fn improved_levels_skewed_demand() {
    let map = Assignment::dealt(12, 2, 72);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let tokens = || (0..72).map(|e| if e % 12 == 0 { 900.0 } else { 100.0 }).collect::<Vec<f64>>();
    let demand = vec![tokens(), (0..72).map(|_| rng.random_range(1.0..1000.0)).collect()];
    let bounds = Bounds { places: 8, fresh: 3, gain: 0.02 };
    let better = map.improved(&demand, bounds);
    assert!(map.skew(&demand) > 2.0);
    assert!(better.skew(&demand) < 1.0 + (map.skew(&demand) - 1.0) / 2.0);
    for (set, before) in better.sets.iter().zip(&map.sets) {
        for (held, before) in set.iter().zip(before) {
            assert!(held.len() <= bounds.places);
            let fresh = held.iter().filter(|expert| !before.contains(expert)).count();
            assert!(fresh <= bounds.fresh);
        }
        let mut all: Vec<u16> = set.iter().flatten().copied().collect();
        all.sort_unstable();
        all.dedup();
        assert_eq!(all.len(), 72, "each expert stays somewhere");
    }
}

/// The leader is frozen with a hold on its rank: the next one reads that rank
/// from afar and orders it directly, however fresh the report is.
#[test]
fn step_releases_hold_of_frozen_leader() {
    let mut world = World::new(1);
    for rank in &mut world.ranks {
        rank.prepared = 5;
        rank.armed = Some(Armed { version: 5, step: 40 });
    }
    world.ranks[0].held = Some(40);
    let mut next = leader(1, 1);
    let now = Duration::from_secs(1);
    for index in 1..RANKS as usize {
        let status = world.status(index, false);
        next.hear(now, status);
    }
    let status = world.status(0, false);
    next.hear_from_afar(now, status);
    let release = Order::Release { step: 40 };
    let expected = [Action::Direct(0, release.clone()), Action::Order(0, release)];
    assert_eq!(next.step(now), expected);
}
