//! An in-memory simulation of a group with its engines, network and platform. It
//! checks every step that an engine runs.
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
    pub checks_fence: bool,
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
    /// Whether each agent is paused, so that it handles no input.
    pub paused: Vec<bool>,
    pub incarnations: Vec<u64>,
    pub engines: Vec<Engine>,
    pub orders: Vec<VecDeque<Order>>,
    pub calls: Vec<Option<Call>>,
    pub messages: Vec<(Rank, Message)>,
    pub object: Option<Object>,
    /// The map of each step, as recorded by the first engine that ran it.
    pub step_maps: BTreeMap<u64, u64>,
    /// The last step that each rank ran, over all its sessions.
    pub last_steps: Vec<Option<u64>>,
}

impl World {
    pub fn new(settings: Settings, checks_fence: impl Fn(usize) -> bool) -> World {
        let ranks = usize::from(settings.ranks);
        let engine = |rank| Engine {
            incarnation: 1,
            checks_fence: checks_fence(rank),
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
            paused: vec![false; ranks],
            incarnations: vec![1; ranks],
            engines: (0..ranks).map(engine).collect(),
            orders: vec![VecDeque::new(); ranks],
            calls: vec![None; ranks],
            messages: Vec::new(),
            object: None,
            step_maps: BTreeMap::new(),
            last_steps: vec![None; ranks],
        }
    }

    pub fn input(&mut self, rank: usize, input: Input) {
        if self.paused[rank] {
            return;
        }
        let Some(agent) = &mut self.agents[rank] else { return };
        for output in agent.step(self.now, input) {
            match output {
                Output::Send { to, message } => self.messages.push((to, message)),
                Output::Order(order) => self.orders[rank].push_back(order),
                Output::Load => self.open_call(rank, Call::Load),
                Output::Store { expect, lease } => self.open_call(rank, Call::Store(expect, lease)),
            }
        }
    }

    fn open_call(&mut self, rank: usize, call: Call) {
        assert!(self.calls[rank].is_none(), "two platform calls open at rank {rank}");
        self.calls[rank] = Some(call);
    }

    pub fn deliver(&mut self, index: usize) {
        let (to, message) = self.messages.swap_remove(index);
        self.input(usize::from(to), Input::Message(message));
    }

    /// Completes the open platform call. Without `effect` a write is lost; without
    /// `reply` the agent gets no reply.
    pub fn complete_call(&mut self, rank: usize, effect: bool, reply: bool) {
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

    /// Executes the oldest pending order on the engine.
    pub fn execute_order(&mut self, rank: usize) {
        let Some(order) = self.orders[rank].pop_front() else { return };
        let engine = &mut self.engines[rank];
        let fence = match &order {
            Order::Prepare { fence, .. } | Order::Run { fence, .. } => fence.to_u64(),
        };
        if engine.checks_fence && fence < engine.fence {
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

    /// Runs the engine's next step, which must use the same map on all ranks.
    pub fn run_step(&mut self, rank: usize) {
        let Some((step, map)) = self.engines[rank].steps.pop_front() else { return };
        let expected = *self.step_maps.entry(step).or_insert(map);
        assert_eq!(expected, map, "step {step} under two maps, second at rank {rank}");
        let last = self.last_steps[rank];
        assert!(last.is_none_or(|last| last < step), "rank {rank} ran {step} after {last:?}");
        self.last_steps[rank] = Some(step);
        self.engines[rank].next = step + 1;
        let incarnation = self.engines[rank].incarnation;
        self.input(rank, Input::Advanced(incarnation, step + 1));
    }

    pub fn poll_engine(&mut self, rank: usize) {
        let Engine { incarnation, next, .. } = self.engines[rank];
        self.input(rank, Input::Started(incarnation));
        self.input(rank, Input::Advanced(incarnation, next));
    }

    /// Kills an agent. With `deliver`, orders and writes in flight still take
    /// effect.
    pub fn kill_agent(&mut self, rank: usize, deliver: bool) {
        self.agents[rank] = None;
        while deliver && !self.orders[rank].is_empty() {
            self.execute_order(rank);
        }
        self.orders[rank].clear();
        if let Some(Call::Store(..)) = self.calls[rank] {
            // Depending on `deliver`, a write in flight takes effect or is lost.
            self.complete_call(rank, deliver, false);
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
        let is_leader =
            |rank: &usize| self.agents[*rank].as_ref().is_some_and(|a| a.leader().is_some());
        (0..self.agents.len()).filter(is_leader).collect()
    }

    /// Completes all platform calls and orders, and runs up to `limit` steps per
    /// rank, without faults and without advancing the clock.
    pub fn settle(&mut self, limit: u64) {
        for rank in 0..self.agents.len() {
            while self.calls[rank].is_some() {
                self.complete_call(rank, true, true);
            }
            while !self.orders[rank].is_empty() {
                self.execute_order(rank);
            }
            let mut count = 0;
            while count < limit && !self.engines[rank].steps.is_empty() {
                self.run_step(rank);
                count += 1;
            }
        }
    }

    /// Supplies a map to each leader that lacks one.
    pub fn supply_maps(&mut self) {
        for rank in self.leaders() {
            let leader = self.agents[rank].as_ref().and_then(|agent| agent.leader());
            if leader.is_some_and(|leader| leader.needs_map()) {
                self.input(rank, Input::Change(Default::default()));
            }
        }
    }

    /// Runs the group without faults for `rounds` of 50 ms.
    pub fn run_without_faults(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.now += Duration::from_millis(50);
            for rank in 0..self.agents.len() {
                self.poll_engine(rank);
                self.input(rank, Input::Tick);
            }
            self.supply_maps();
            for _ in 0..4 {
                for (to, message) in std::mem::take(&mut self.messages) {
                    self.input(usize::from(to), Input::Message(message));
                }
                self.settle(self.settings.block);
            }
        }
    }
}
