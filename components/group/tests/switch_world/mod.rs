//! Simulation of ranks that lose answers, execute orders late and restart, of
//! hosts that freeze, and of agents that follow one of several leaders.
#![allow(dead_code, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use group::placement::demand::Reading;
use group::placement::even::{Assignment, Bounds};
use group::switch::{Action, Armed, Leader, Model, Order, Report, Status, Tuning};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const RANKS: u32 = 3;
const SETS: usize = 1;
const EXPERTS: usize = 6;
pub const MODEL: Model = Model {
    sets: SETS,
    experts: EXPERTS,
    bounds: Bounds { places: 4, fresh: 2, copies: 0, gain: 0.0 },
    copy: Duration::from_millis(5),
    pause: Duration::from_millis(120),
};

/// A rank according to the platform's protocol.
#[derive(Clone, Debug, Default)]
pub struct Rank {
    epoch: u64,
    maps: BTreeMap<u64, Arc<Assignment>>,
    pub highest: u64,
    pub map: u64,
    pub prepared: u64,
    pub armed: Option<Armed>,
    pub held: Option<u64>,
}

/// Interval between two steps of a leader.
pub const TICK: Duration = Duration::from_millis(25);

/// The group and the orders in transit.
pub struct World {
    pub rng: ChaCha8Rng,
    pub ranks: Vec<Rank>,
    pub step: u64,
    delayed: Vec<Delayed>,
    pub now: Duration,
    pub faults: bool,
    /// When each host resumes, if it is frozen.
    pub frozen_until: Vec<Duration>,
    /// Index of the leader that each agent follows.
    pub follows: Vec<usize>,
}

/// An order that is executed later.
struct Delayed {
    at: Duration,
    rank: usize,
    epoch: u64,
    order: Order,
}

impl World {
    pub fn new(seed: u64) -> World {
        let ranks = vec![Rank { epoch: 1, ..Rank::default() }; RANKS as usize];
        let rng = ChaCha8Rng::seed_from_u64(seed);
        World {
            rng,
            ranks,
            step: 0,
            delayed: Vec::new(),
            now: Duration::ZERO,
            faults: true,
            frozen_until: vec![Duration::ZERO; RANKS as usize],
            follows: vec![0; RANKS as usize],
        }
    }

    pub fn is_frozen(&self, rank: usize) -> bool {
        self.now < self.frozen_until[rank]
    }

    /// Executes an order, loses it, or delays it.
    fn deliver(&mut self, rank: usize, epoch: u64, order: Order) {
        match self.rng.random_range(0..10) {
            0 | 1 if self.faults => {
                let at = self.now + TICK * self.rng.random_range(1..120);
                self.delayed.push(Delayed { at, rank, epoch, order });
            }
            2 if self.faults => {}
            _ => self.execute(rank, epoch, &order),
        }
    }

    pub fn execute(&mut self, index: usize, epoch: u64, order: &Order) {
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
                    rank.maps.insert(*version, map.clone());
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

    /// Begins the next pass unless a rank holds it, and checks that all ranks use the
    /// same map.
    pub fn run_pass(&mut self, seed: u64) {
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
        let content = self.ranks[0].maps.get(&map);
        assert!(
            self.ranks.iter().all(|rank| rank.maps.get(&map) == content),
            "seed {seed}: pass {next} under several contents of map {map}: {:?}",
            self.ranks
        );
    }

    /// Executes the delayed orders that are due.
    pub fn execute_delayed(&mut self) {
        let (due, later) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|delayed| delayed.at <= self.now);
        self.delayed = later;
        let due: Vec<Delayed> = due;
        for delayed in due {
            self.execute(delayed.rank, delayed.epoch, &delayed.order);
        }
    }

    /// Restarts the group after the crash of a rank: a new epoch with map 0 and
    /// nothing prepared.
    pub fn restart(&mut self) {
        let epoch = self.ranks[0].epoch + 1;
        self.ranks = vec![Rank { epoch, ..Rank::default() }; RANKS as usize];
    }

    pub fn status(&mut self, index: usize, demand: bool) -> Status {
        let rank = &self.ranks[index];
        let initial: Vec<u16> =
            (index..EXPERTS).step_by(RANKS as usize).map(|e| e as u16).collect();
        let held =
            if rank.map == 0 { initial } else { rank.maps[&rank.map].sets[0][index].clone() };
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
            slowness: group::switch::NORMAL_SLOWNESS,
        };
        let tokens = (0..EXPERTS).map(|_| self.rng.random_range(1..4000)).collect();
        Status {
            report,
            experts: Some(vec![held]),
            demand: demand.then(|| Reading::new(&[tokens])),
        }
    }

    /// Sends the statuses of some ranks to a leader and returns its actions. With
    /// `tokens`, each rank reports them as its demand by expert.
    pub fn update_and_step(
        &mut self,
        leader: &mut Leader,
        ranks: impl Iterator<Item = usize>,
        tokens: Option<&[u32]>,
    ) -> Vec<Action> {
        for index in ranks {
            let status = self.status(index, false);
            let demand = tokens.map(|tokens| Reading::new(&[tokens.to_vec()]));
            leader.handle_status(self.now, Status { demand, ..status });
        }
        leader.step(self.now)
    }

    /// Executes the orders to agents without delay. Returns ranks and orders.
    pub fn execute_all(&mut self, actions: Vec<Action>) -> Vec<(u32, String)> {
        let mut orders = Vec::new();
        for action in actions {
            if let Action::Order(rank, order) = action {
                self.execute(rank as usize, 1, &order);
                orders.push((rank, order_name(&order)));
            }
        }
        orders
    }

    /// Delivers the statuses of the agents that follow a leader. Reachable ranks
    /// whose agents are unresponsive are sometimes read directly.
    pub fn deliver_statuses(&mut self, leader: &mut Leader, leader_index: usize) {
        for index in 0..RANKS as usize {
            let lost = self.faults && self.rng.random_range(0..4) == 0;
            if lost || self.is_frozen(index) || self.follows[index] != leader_index {
                continue;
            }
            let status = self.status(index, true);
            leader.handle_status(self.now, status);
        }
        for rank in leader.unresponsive(self.now) {
            if !self.is_frozen(rank as usize) && self.rng.random_range(0..10) == 0 {
                let status = Status { experts: None, ..self.status(rank as usize, false) };
                leader.handle_direct_status(self.now, status);
            }
        }
    }

    pub fn execute_actions(&mut self, leader: &mut Leader, leader_index: usize, done: &mut usize) {
        let epoch = leader.epoch();
        for action in leader.step(self.now) {
            match action {
                Action::Order(rank, order) => {
                    let rank = rank as usize;
                    if !self.is_frozen(rank) && self.follows[rank] == leader_index {
                        self.deliver(rank, epoch, order);
                    }
                }
                Action::Direct(rank, order) => {
                    let (rank, at) = (rank as usize, self.frozen_until[rank as usize]);
                    if self.is_frozen(rank) {
                        self.delayed.push(Delayed { at, rank, epoch, order });
                    } else {
                        self.deliver(rank, epoch, order);
                    }
                }
                Action::Done(_) => *done += 1,
                _ => {}
            }
        }
    }
}

pub fn leader(own: u32, tag: u64) -> Leader {
    let tuning =
        Tuning { window: TICK, min_tokens: 10.0, min_skew_gain: (0.01, 0.01), ..Tuning::default() };
    Leader::new(tuning, MODEL, own, tag)
}

/// Name of the variant of an order.
pub fn order_name(order: &Order) -> String {
    format!("{order:?}").split(' ').next().unwrap().to_owned()
}
