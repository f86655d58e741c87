//! A model of ranks that lose answers, carry out orders late and restart, of
//! hosts that freeze, and of agents that follow one of several leaders.
#![allow(dead_code, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use group::placement::demand::Reading;
use group::placement::even::Bounds;
use group::switch::{Action, Armed, Leader, Model, Order, Report, Status, Tuning};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const RANKS: u32 = 3;
const SETS: usize = 1;
const EXPERTS: usize = 6;
const MODEL: Model = Model {
    sets: SETS,
    experts: EXPERTS,
    bounds: Bounds { places: 4, fresh: 2, copies: 0, gain: 0.0 },
    copy: Duration::from_millis(5),
    pause: Duration::from_millis(120),
};

/// A rank as the platform's protocol describes it.
#[derive(Clone, Debug, Default)]
pub struct Rank {
    epoch: u64,
    maps: BTreeMap<u64, Vec<u16>>,
    pub highest: u64,
    pub map: u64,
    pub prepared: u64,
    pub armed: Option<Armed>,
    pub held: Option<u64>,
}

/// Time between two looks of a leader.
pub const TICK: Duration = Duration::from_millis(25);

/// The group and what is on its way.
pub struct World {
    pub rng: ChaCha8Rng,
    pub ranks: Vec<Rank>,
    pub step: u64,
    late: Vec<Late>,
    pub now: Duration,
    pub faults: bool,
    /// When each host goes on, if it stands still.
    pub frozen: Vec<Duration>,
    /// Which of the leaders each agent follows.
    pub follows: Vec<usize>,
}

/// An order that is carried out later.
struct Late {
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
            late: Vec::new(),
            now: Duration::ZERO,
            faults: true,
            frozen: vec![Duration::ZERO; RANKS as usize],
            follows: vec![0; RANKS as usize],
        }
    }

    pub fn is_frozen(&self, rank: usize) -> bool {
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

    pub fn carry_out(&mut self, index: usize, epoch: u64, order: &Order) {
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
    pub fn pass(&mut self, seed: u64) {
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
    pub fn carry_out_late(&mut self) {
        let (due, later) =
            std::mem::take(&mut self.late).into_iter().partition(|late| late.at <= self.now);
        self.late = later;
        let due: Vec<Late> = due;
        for late in due {
            self.carry_out(late.rank, late.epoch, &late.order);
        }
    }

    /// A rank crashed and is back: a new epoch with map 0 and nothing prepared.
    pub fn restart(&mut self) {
        let epoch = self.ranks[0].epoch + 1;
        self.ranks = vec![Rank { epoch, ..Rank::default() }; RANKS as usize];
    }

    pub fn status(&mut self, index: usize, demand: bool) -> Status {
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
            slowness: group::switch::NORMAL_SLOWNESS,
        };
        let tokens = (0..EXPERTS).map(|_| self.rng.random_range(1..4000)).collect();
        Status {
            report,
            experts: Some(vec![held]),
            demand: demand.then(|| Reading::new(&[tokens])),
        }
    }

    /// Tells a leader how some ranks are, and returns what it wants done. With
    /// `tokens`, each rank tells them as the demand by expert.
    pub fn consult(
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

    /// Carries out the orders to agents at once. Returns ranks and orders.
    pub fn carry_out_all(&mut self, actions: Vec<Action>) -> Vec<(u32, String)> {
        let mut orders = Vec::new();
        for action in actions {
            if let Action::Order(rank, order) = action {
                self.carry_out(rank as usize, 1, &order);
                orders.push((rank, name(&order)));
            }
        }
        orders
    }

    /// The agents that follow a leader tell it how their ranks are. Ranks whose
    /// agents are silent are read from afar at times, where they can be reached.
    pub fn tell_all(&mut self, leader: &mut Leader, place: usize) {
        for index in 0..RANKS as usize {
            let lost = self.faults && self.rng.random_range(0..4) == 0;
            if lost || self.is_frozen(index) || self.follows[index] != place {
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

    pub fn obey(&mut self, leader: &mut Leader, place: usize, done: &mut usize) {
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

pub fn leader(own: u32, tag: u64) -> Leader {
    let tuning =
        Tuning { window: TICK, least_tokens: 10.0, least_gain: (0.01, 0.01), ..Tuning::default() };
    Leader::new(tuning, MODEL, own, tag)
}

/// An order without its parts.
pub fn name(order: &Order) -> String {
    format!("{order:?}").split(' ').next().unwrap().to_owned()
}
