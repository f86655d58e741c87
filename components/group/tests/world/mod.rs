//! A group with its engines, network and platform, all in memory, that checks
//! every step an engine runs.
#![allow(dead_code, missing_docs)]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use group::{Agent, Input, Lease, Message, Object, Order, Output, Rank, Settings};

pub fn settings(ranks: Rank, block: u64) -> Settings {
    Settings {
        ranks,
        block,
        heartbeat: Duration::from_millis(200),
        timeout: Duration::from_secs(2),
        stagger: Duration::from_millis(100),
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Engine {
    pub incarnation: u64,
    pub obeys: bool,
    pub fence: u64,
    pub maps: Vec<u64>,
    pub steps: VecDeque<(u64, u64)>,
    pub next: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    Load,
    Store(Option<u64>, Lease),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub settings: Settings,
    pub now: Duration,
    pub agents: Vec<Option<Agent>>,
    /// Agents that are paused: they take no input.
    pub frozen: Vec<bool>,
    pub incarnations: Vec<u64>,
    pub engines: Vec<Engine>,
    pub orders: Vec<VecDeque<Order>>,
    pub calls: Vec<Option<Call>>,
    pub messages: Vec<(Rank, Message)>,
    pub object: Option<Object>,
    /// The map under which each step was run by whoever ran it first.
    pub maps: BTreeMap<u64, u64>,
    /// The last step that each rank ran, over all its lives.
    pub last: Vec<Option<u64>>,
}

impl World {
    pub fn new(settings: Settings, obeys: impl Fn(usize) -> bool) -> World {
        let ranks = usize::from(settings.ranks);
        let engine = |rank| Engine {
            incarnation: 1,
            obeys: obeys(rank),
            fence: 0,
            maps: Vec::new(),
            steps: VecDeque::new(),
            next: 0,
        };
        let agent = |rank| Some(Agent::new(Duration::ZERO, rank, 1, settings));
        World {
            settings,
            now: Duration::ZERO,
            agents: (0..settings.ranks).map(agent).collect(),
            frozen: vec![false; ranks],
            incarnations: vec![1; ranks],
            engines: (0..ranks).map(engine).collect(),
            orders: vec![VecDeque::new(); ranks],
            calls: vec![None; ranks],
            messages: Vec::new(),
            object: None,
            maps: BTreeMap::new(),
            last: vec![None; ranks],
        }
    }

    pub fn input(&mut self, rank: usize, input: Input) {
        if self.frozen[rank] {
            return;
        }
        let Some(agent) = &mut self.agents[rank] else { return };
        for output in agent.step(self.now, input) {
            match output {
                Output::Send { to, message } => self.messages.push((to, message)),
                Output::Order(order) => self.orders[rank].push_back(order),
                Output::Load => self.call(rank, Call::Load),
                Output::Store { expect, lease } => self.call(rank, Call::Store(expect, lease)),
            }
        }
    }

    fn call(&mut self, rank: usize, call: Call) {
        assert!(self.calls[rank].is_none(), "two platform calls open at rank {rank}");
        self.calls[rank] = Some(call);
    }

    pub fn deliver(&mut self, index: usize) {
        let (to, message) = self.messages.swap_remove(index);
        self.input(usize::from(to), Input::Message(message));
    }

    /// Answers the open platform call; `effect` and `reply` may get lost.
    pub fn answer(&mut self, rank: usize, effect: bool, reply: bool) {
        let Some(call) = self.calls[rank].take() else { return };
        let current = self.object.map(|object| object.version);
        let input = match call {
            Call::Load => Input::Loaded(self.object),
            Call::Store(expect, _) if expect != current => Input::Conflict,
            Call::Store(_, lease) => {
                if effect {
                    self.object = Some(Object { version: current.unwrap_or(0) + 1, lease });
                }
                Input::Stored
            }
        };
        self.input(rank, if effect && reply { input } else { Input::Failed });
    }

    /// The engine takes the oldest order of its agent.
    pub fn order(&mut self, rank: usize) {
        let Some(order) = self.orders[rank].pop_front() else { return };
        let engine = &mut self.engines[rank];
        let fence = match &order {
            Order::Prepare { fence, .. } | Order::Run { fence, .. } => fence.to_u64(),
        };
        if engine.obeys && fence < engine.fence {
            return;
        }
        engine.fence = engine.fence.max(fence);
        match order {
            Order::Prepare { map, .. } => {
                if !engine.maps.contains(&map.version) {
                    engine.maps.push(map.version);
                }
                let incarnation = engine.incarnation;
                self.input(rank, Input::Prepared(incarnation, map.version));
            }
            Order::Run { block, .. } => {
                assert!(block.from < block.to, "empty block");
                if engine.maps.contains(&block.map) {
                    engine.steps.extend((block.from..block.to).map(|step| (step, block.map)));
                }
            }
        }
    }

    /// The engine runs its next step, which must be under the map of all others.
    pub fn run(&mut self, rank: usize) {
        let Some((step, map)) = self.engines[rank].steps.pop_front() else { return };
        let known = *self.maps.entry(step).or_insert(map);
        assert_eq!(known, map, "step {step} under two maps, second at rank {rank}");
        let last = self.last[rank];
        assert!(last.is_none_or(|last| last < step), "rank {rank} ran {step} after {last:?}");
        self.last[rank] = Some(step);
        self.engines[rank].next = step + 1;
        let incarnation = self.engines[rank].incarnation;
        self.input(rank, Input::Advanced(incarnation, step + 1));
    }

    pub fn poll(&mut self, rank: usize) {
        let Engine { incarnation, next, .. } = self.engines[rank];
        self.input(rank, Input::Started(incarnation));
        self.input(rank, Input::Advanced(incarnation, next));
    }

    /// The agent dies; orders that are under way may still reach the engine.
    pub fn kill_agent(&mut self, rank: usize, arrive: bool) {
        self.agents[rank] = None;
        while arrive && !self.orders[rank].is_empty() {
            self.order(rank);
        }
        self.orders[rank].clear();
        if let Some(Call::Store(..)) = self.calls[rank] {
            // A write under way lands or is lost with its process.
            self.answer(rank, arrive, false);
        }
        self.calls[rank] = None;
    }

    pub fn start_agent(&mut self, rank: usize) {
        self.incarnations[rank] += 1;
        let number = Rank::try_from(rank).unwrap();
        let agent = Agent::new(self.now, number, self.incarnations[rank], self.settings);
        self.agents[rank] = Some(agent);
    }

    pub fn kill_engine(&mut self, rank: usize) {
        let engine = &mut self.engines[rank];
        engine.incarnation += 1;
        engine.maps.clear();
        engine.steps.clear();
        engine.fence = 0;
        engine.next = 0;
    }

    pub fn leaders(&self) -> Vec<usize> {
        let leads =
            |rank: &usize| self.agents[*rank].as_ref().is_some_and(|a| a.leader().is_some());
        (0..self.agents.len()).filter(leads).collect()
    }

    /// Everything that can happen without a fault and without time passing.
    pub fn settle(&mut self, limit: u64) {
        for rank in 0..self.agents.len() {
            while self.calls[rank].is_some() {
                self.answer(rank, true, true);
            }
            while !self.orders[rank].is_empty() {
                self.order(rank);
            }
            let mut count = 0;
            while count < limit && !self.engines[rank].steps.is_empty() {
                self.run(rank);
                count += 1;
            }
        }
    }

    /// Gives each leader that has no map one.
    pub fn supply(&mut self) {
        for rank in self.leaders() {
            let leader = self.agents[rank].as_ref().and_then(|agent| agent.leader());
            if leader.is_some_and(|leader| leader.needs_map()) {
                self.input(rank, Input::Change(Default::default()));
            }
        }
    }

    /// Goes on without faults for a while, time included.
    pub fn calm(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.now += Duration::from_millis(50);
            for rank in 0..self.agents.len() {
                self.poll(rank);
                self.input(rank, Input::Tick);
            }
            self.supply();
            for _ in 0..4 {
                for (to, message) in std::mem::take(&mut self.messages) {
                    self.input(usize::from(to), Input::Message(message));
                }
                self.settle(self.settings.block);
            }
        }
    }
}
