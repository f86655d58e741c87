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

/// Time between two looks of a leader.
const TICK: Duration = Duration::from_millis(25);

/// The group and what is on its way.
struct World {
    rng: ChaCha8Rng,
    ranks: Vec<Rank>,
    step: u64,
    late: Vec<Late>,
    now: Duration,
    faults: bool,
    /// When each host goes on, if it stands still.
    frozen: Vec<Duration>,
    /// Which of the leaders each agent follows.
    follows: Vec<usize>,
}

/// An order that is carried out later.
struct Late {
    at: Duration,
    rank: usize,
    epoch: u64,
    order: Order,
}

impl World {
    fn new(seed: u64) -> World {
        let ranks = vec![Rank { epoch: 1, ..Rank::default() }; RANKS as usize];
        let rng = ChaCha8Rng::seed_from_u64(seed);
        World {
            rng,
            ranks,
            step: 0,
            late: Vec::new(),
            now: Duration::ZERO,
            faults: true,
            frozen: vec![Duration::ZERO; RANKS as usize],
            follows: vec![0; RANKS as usize],
        }
    }

    fn is_frozen(&self, rank: usize) -> bool {
        self.now < self.frozen[rank]
    }

    /// An order arrives: carried out, lost, or carried out later.
    fn arrive(&mut self, rank: usize, epoch: u64, order: Order) {
        match self.rng.random_range(0..10) {
            0 | 1 if self.faults => {
                let at = self.now + TICK * self.rng.random_range(1..120);
                self.late.push(Late { at, rank, epoch, order });
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
            Order::Disarm { version } => {
                if rank.armed.is_some_and(|armed| armed.version == *version) {
                    rank.armed = None;
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
    }

    /// Carries out the orders that are late by now.
    fn carry_out_late(&mut self) {
        let (due, later) =
            std::mem::take(&mut self.late).into_iter().partition(|late| late.at <= self.now);
        self.late = later;
        let due: Vec<Late> = due;
        for late in due {
            self.carry_out(late.rank, late.epoch, &late.order);
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

    /// The agents that follow a leader tell it how their ranks are. Ranks whose
    /// agents are silent are read from afar at times, where they can be reached.
    fn tell_all(&mut self, leader: &mut Leader, place: usize) {
        for index in 0..RANKS as usize {
            let lost = self.faults && self.rng.random_range(0..4) == 0;
            if lost || self.is_frozen(index) || self.follows[index] != place {
                continue;
            }
            let status = self.status(index, true);
            leader.hear(self.now, status);
        }
        for rank in leader.silent(self.now) {
            if !self.is_frozen(rank as usize) && self.rng.random_range(0..10) == 0 {
                let status = Status { experts: None, ..self.status(rank as usize, false) };
                leader.hear_from_afar(self.now, status);
            }
        }
    }

    fn obey(&mut self, leader: &mut Leader, place: usize, done: &mut usize) {
        let epoch = leader.epoch();
        for action in leader.step(self.now) {
            match action {
                Action::Order(rank, order) => {
                    let rank = rank as usize;
                    if !self.is_frozen(rank) && self.follows[rank] == place {
                        self.arrive(rank, epoch, order);
                    }
                }
                Action::Direct(rank, order) => {
                    let (rank, at) = (rank as usize, self.frozen[rank as usize]);
                    if self.is_frozen(rank) {
                        self.late.push(Late { at, rank, epoch, order });
                    } else {
                        self.arrive(rank, epoch, order);
                    }
                }
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

/// Two agents that lead side by side, come, go and freeze; with faults at an
/// end one of them leads and the group runs on.
fn walk(seed: u64) -> usize {
    let mut world = World::new(seed);
    let mut leaders = [(0, leader(0, 1)), (1, leader(1, 2))];
    let mut done = 0;
    for tick in 0..1200_u64 {
        world.now += TICK;
        world.faults = tick < 900;
        for (place, (host, leader)) in leaders.iter_mut().enumerate() {
            if world.is_frozen(*host as usize) || (!world.faults && place > 0) {
                continue;
            }
            world.tell_all(leader, place);
            world.obey(leader, place, &mut done);
        }
        world.carry_out_late();
        if world.rng.random_range(0..2) == 0 {
            world.pass(seed);
        }
        if world.faults {
            disturb(&mut world, &mut leaders, tick);
        } else {
            world.follows = vec![0; RANKS as usize];
        }
    }
    let before = world.step;
    for _ in 0..400 {
        world.now += TICK;
        world.tell_all(&mut leaders[0].1, 0);
        world.obey(&mut leaders[0].1, 0, &mut done);
        world.carry_out_late();
        world.pass(seed);
    }
    assert!(world.step > before + 200, "seed {seed}: the group stands still: {:?}", world.ranks);
    done
}

fn disturb(world: &mut World, leaders: &mut [(u32, Leader); 2], tick: u64) {
    let place = world.rng.random_range(0..leaders.len());
    if world.rng.random_range(0..60) == 0 {
        // The leader is gone; another one knows nothing of its plans.
        let host = world.rng.random_range(0..RANKS);
        leaders[place] = (host, leader(host, tick + 3));
    }
    if world.rng.random_range(0..250) == 0 {
        world.restart();
    }
    if world.rng.random_range(0..100) == 0 {
        let host = world.rng.random_range(0..RANKS as usize);
        world.frozen[host] = world.now + TICK * world.rng.random_range(10..160);
    }
    if world.rng.random_range(0..40) == 0 {
        // An agent follows another leader; mostly all do so together.
        let all = world.rng.random_range(0..4) > 0;
        let one = world.rng.random_range(0..RANKS as usize);
        for (index, follows) in world.follows.iter_mut().enumerate() {
            if all || index == one {
                *follows = place;
            }
        }
    }
}

#[test]
fn step_walk_keeps_one_map() {
    // 498: a rank copied another leader's version while the holder was armed.
    let done: usize = (0..300).chain([498]).map(walk).sum();
    assert!(done > 300, "only {done} changes in all");
}

/// An order without its parts.
fn name(order: &Order) -> String {
    format!("{order:?}").split(' ').next().unwrap().to_owned()
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
            if let Action::Order(rank, order) | Action::Direct(rank, order) = action {
                orders.push((rank, name(&order)));
                world.carry_out(rank as usize, 1, &order);
            }
        }
        world.pass(1);
        if world.ranks[0].map > 0 {
            break;
        }
    }
    // Rank 2 was heard last of those that don't stand beside the leader.
    let expected = [
        (0, "Prepare"),
        (1, "Prepare"),
        (2, "Prepare"),
        (2, "Hold"),
        (2, "Arm"),
        (0, "Arm"),
        (1, "Arm"),
        (2, "Release"),
    ];
    assert_eq!(orders, expected.map(|(rank, order)| (rank, order.to_owned())));
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

/// A dead leader armed the rank that holds the pass: the others follow.
#[test]
fn step_finishes_what_another_began() {
    let mut world = World::new(1);
    for rank in &mut world.ranks {
        rank.prepared = 5;
    }
    world.ranks[0].held = Some(40);
    world.ranks[0].armed = Some(Armed { version: 5, step: 40 });
    let mut next = leader(1, 1);
    for index in 0..RANKS as usize {
        let status = world.status(index, false);
        next.hear(Duration::ZERO, status);
    }
    let arm = |rank| Action::Order(rank, Order::Arm { version: 5, step: 40 });
    assert_eq!(next.step(Duration::ZERO), [arm(1), arm(2)]);
}

/// All ranks have this leader's map ready, but the pass that is held was held
/// by somebody else, whose late release may be on its way.
#[test]
fn step_abandons_hold_of_another_leader() {
    let mut world = World::new(1);
    let mut own = leader(0, 1);
    for tick in 1..20 {
        world.now = TICK * tick;
        let mut orders = Vec::new();
        for index in 0..RANKS as usize {
            let mut status = world.status(index, false);
            status.demand = Some(vec![vec![9000, 10, 10, 10, 10, 10]]);
            own.hear(world.now, status);
        }
        for action in own.step(world.now) {
            if let Action::Order(rank, order) = action {
                world.carry_out(rank as usize, 1, &order);
                orders.push((rank, name(&order)));
            }
        }
        if world.ranks[2].held.is_some() {
            assert_eq!(orders, [(2, "Prepare".to_owned())]);
            return;
        }
        if world.ranks.iter().all(|rank| rank.prepared > 0) {
            world.ranks[2].held = Some(90);
        }
    }
    panic!("no map was prepared");
}

/// The holder is armed, but another leader had a rank copy a later version: the
/// change is undone, the holder last, and no late order can bring it back.
#[test]
fn step_undoes_overtaken_change() {
    let mut world = World::new(1);
    for rank in &mut world.ranks {
        (rank.prepared, rank.highest) = (5, 5);
    }
    (world.ranks[0].prepared, world.ranks[0].highest) = (6, 6);
    let armed = Some(Armed { version: 5, step: 40 });
    (world.ranks[1].armed, world.ranks[2].armed) = (armed, armed);
    world.ranks[1].held = Some(40);
    let mut next = leader(2, 1);
    let mut orders = Vec::new();
    for tick in 0..8 {
        let now = TICK * tick;
        for index in 0..RANKS as usize {
            let status = world.status(index, false);
            next.hear(now, status);
        }
        for action in next.step(now) {
            let Action::Order(rank, order) = action else { continue };
            orders.push((rank, name(&order)));
            world.carry_out(rank as usize, 1, &order);
        }
    }
    let expected = [(2, "Disarm"), (2, "Prepare"), (1, "Disarm"), (1, "Prepare"), (1, "Release")];
    assert_eq!(orders, expected.map(|(rank, order)| (rank, order.to_owned())));
    for rank in 0..RANKS as usize {
        world.carry_out(rank, 1, &Order::Arm { version: 5, step: 40 });
        assert_eq!(world.ranks[rank].armed, None);
    }
}

/// An earlier leader's hold came late, while the rank is armed for a pass
/// further on: it is released, and the switch goes on.
#[test]
fn step_releases_late_hold() {
    let mut world = World::new(1);
    for rank in &mut world.ranks {
        rank.prepared = 5;
        rank.armed = Some(Armed { version: 5, step: 40 });
    }
    world.ranks[1].held = Some(30);
    let mut next = leader(0, 1);
    for index in 0..RANKS as usize {
        let status = world.status(index, false);
        next.hear(Duration::ZERO, status);
    }
    let actions = next.step(Duration::ZERO);
    assert_eq!(actions, [Action::Order(1, Order::Release { step: 30 })]);
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

/// The leader's host froze right after the hold, which another rank keeps. No
/// rank was armed: the next leader makes sure that none will be, then goes on.
#[test]
fn step_abandons_hold_of_frozen_leader() {
    let mut world = World::new(1);
    for rank in &mut world.ranks {
        rank.prepared = 5;
        rank.highest = 5;
    }
    world.ranks[1].held = Some(40);
    let mut next = leader(2, 1);
    let mut orders = Vec::new();
    for tick in 0..4 {
        let now = Duration::from_millis(25 * tick);
        for index in 1..RANKS as usize {
            let status = world.status(index, false);
            next.hear(now, status);
        }
        for action in next.step(now) {
            let Action::Order(rank, order) = action else { continue };
            orders.push((rank, name(&order)));
            world.carry_out(rank as usize, 1, &order);
        }
    }
    assert_eq!(orders, [(1, "Prepare".to_owned()), (1, "Release".to_owned())]);
    world.carry_out(1, 1, &Order::Arm { version: 5, step: 40 });
    assert_eq!(world.ranks[1].armed, None, "the old leader's late order changes nothing");
}
