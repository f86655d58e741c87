//! Breadth-first search over the real state machines: every order, loss and
//! repetition of messages within a bound, one change of leader, one of maps,
//! one restart.
#![allow(clippy::unwrap_used)]

mod world;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use group::{Counters, Input};
use rstest::rstest;
use world::World;

/// The time of a tick at which every timeout has run out. All else happens at
/// zero, so that equal states stay equal whenever they are reached.
const LATE: Duration = Duration::from_secs(3600);
/// Steps after which a path is not followed further.
const STEPS: usize = 4;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    world: World,
    /// How often the timeouts of each rank may still run out.
    ticks: Vec<u32>,
    change: bool,
    agent: bool,
    engine: bool,
}

impl State {
    /// All ranks have run a first block, and one of them a second one.
    fn new(ranks: u16, obeys: bool) -> State {
        let mut world = World::new(world::settings(ranks, 1), |_| obeys);
        for rank in 0..usize::from(ranks) {
            world.poll(rank);
            world.input(rank, Input::Tick);
            world.settle(1);
        }
        world.now = LATE;
        world.input(0, Input::Tick);
        world.now = Duration::ZERO;
        world.settle(1);
        world.supply();
        while world.maps.len() < 2 {
            world.deliver(0);
            world.settle(1);
        }
        // The others learn of the first number, so that they stand at once.
        world.now = LATE;
        for rank in 1..usize::from(ranks) {
            world.input(rank, Input::Tick);
            world.settle(1);
        }
        world.now = Duration::ZERO;
        State { world, ticks: vec![2; usize::from(ranks)], change: true, agent: true, engine: true }
    }

    fn next(&self) -> Vec<State> {
        let mut states = Vec::new();
        // A message that is never delivered is a lost one.
        for index in 0..self.world.messages.len() {
            states.push(self.with(|state| state.world.deliver(index)));
        }
        for rank in 0..self.world.agents.len() {
            if self.ticks[rank] > 0 {
                states.extend(self.tick(rank));
            }
            if self.agent {
                for arrive in [false, true] {
                    states.push(self.with(|state| state.restart(rank, arrive)));
                }
            }
            if self.engine {
                states.push(self.with(|state| {
                    state.engine = false;
                    state.world.kill_engine(rank);
                    state.world.poll(rank);
                }));
            }
        }
        if self.change {
            states.push(self.with(|state| {
                state.change = false;
                for rank in state.world.leaders() {
                    state.world.input(rank, Input::Change(Default::default()));
                }
            }));
        }
        states
    }

    fn restart(&mut self, rank: usize, arrive: bool) {
        self.agent = false;
        self.world.kill_agent(rank, arrive);
        self.world.start_agent(rank);
        self.world.poll(rank);
        self.world.input(rank, Input::Tick);
    }

    /// All timeouts of a rank run out; at most two numbers are taken.
    fn tick(&self, rank: usize) -> Option<State> {
        let state = self.with(|state| {
            state.world.now = LATE * (4 - state.ticks[rank]);
            state.ticks[rank] -= 1;
            state.world.input(rank, Input::Tick);
            state.world.now = Duration::ZERO;
        });
        let number = state.world.object.map_or(0, |object| object.lease.number);
        (number <= 2).then_some(state)
    }

    fn with(&self, change: impl Fn(&mut State)) -> State {
        let mut state = self.clone();
        change(&mut state);
        state.world.settle(1);
        state.world.supply();
        state.world.messages.sort_by_cached_key(key);
        state.world.messages.dedup();
        for agent in state.world.agents.iter_mut().flatten() {
            agent.member.counters = Counters::default();
        }
        state
    }
}

fn key(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

#[rstest]
#[case::leader_and_map(2, 2, true, false, 9)]
#[case::leader_and_restart(2, 2, false, true, 6)]
#[case::restart_alone(2, 1, false, true, 8)]
#[case::three_ranks(3, 3, true, false, 6)]
fn search_orders(
    #[case] ranks: u16,
    #[case] ticks: usize,
    #[case] change: bool,
    #[case] restart: bool,
    #[case] depth: u32,
) {
    let counts = (0..usize::from(ranks)).map(|rank| if rank < ticks { 2 } else { 0 }).collect();
    let start = State {
        ticks: counts,
        change,
        agent: restart,
        engine: restart,
        ..State::new(ranks, false)
    };
    let mut leaders = 0;
    let mut seen = HashSet::from([key(&start)]);
    let mut states = vec![start];
    for level in 1..=depth {
        let mut following = Vec::new();
        for state in &states {
            if state.world.maps.len() > STEPS {
                continue;
            }
            for next in state.next() {
                leaders = leaders.max(next.world.object.unwrap().lease.number);
                if seen.insert(key(&next)) {
                    following.push(next);
                }
            }
        }
        states = following;
        println!(
            "ranks {ranks} change {change} restart {restart} depth {level}: {} states",
            seen.len()
        );
    }
    assert_eq!(leaders, 2, "no change of leader was met");
    assert!(seen.len() > 1000, "only {} states", seen.len());
}
