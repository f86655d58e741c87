//! Breadth-first search over the state machines: all orderings, losses and
//! repetitions of messages up to a depth, with at most one change of leader, one
//! change of maps and one restart.
#![allow(clippy::unwrap_used)]

mod world;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use group::{Counters, Input};
use rstest::rstest;
use world::World;

/// Time of a tick at which every timeout has expired. All other events happen at
/// time zero, so that a state compares equal on whichever path it is reached.
const AFTER_TIMEOUTS: Duration = Duration::from_secs(3600);
/// Paths with more steps than this are not explored further.
const MAX_STEPS: usize = 4;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    world: World,
    /// How often the timeouts of each rank may still expire.
    ticks: Vec<u32>,
    may_change_map: bool,
    may_restart_agent: bool,
    may_restart_engine: bool,
}

impl State {
    /// The initial state: all ranks have run one block, and at least one rank a
    /// second one.
    fn new(ranks: u16, checks_fence: bool) -> State {
        let mut world = World::new(world::settings(ranks, 1), |_| checks_fence);
        for rank in 0..usize::from(ranks) {
            world.poll_engine(rank);
            world.input(rank, Input::Tick);
            world.settle(1);
        }
        world.now = AFTER_TIMEOUTS;
        world.input(0, Input::Tick);
        world.now = Duration::ZERO;
        world.settle(1);
        world.supply_maps();
        while world.step_maps.len() < 2 {
            world.deliver(0);
            world.settle(1);
        }
        // The other ranks load the first number, so that a later timeout makes them
        // candidates at once.
        world.now = AFTER_TIMEOUTS;
        for rank in 1..usize::from(ranks) {
            world.input(rank, Input::Tick);
            world.settle(1);
        }
        world.now = Duration::ZERO;
        State {
            world,
            ticks: vec![2; usize::from(ranks)],
            may_change_map: true,
            may_restart_agent: true,
            may_restart_engine: true,
        }
    }

    fn successors(&self) -> Vec<State> {
        let mut states = Vec::new();
        // A lost message is covered by the paths that never deliver it.
        for index in 0..self.world.messages.len() {
            states.push(self.with(|state| state.world.deliver(index)));
        }
        for rank in 0..self.world.agents.len() {
            if self.ticks[rank] > 0 {
                states.extend(self.expire_timeouts(rank));
            }
            if self.may_restart_agent {
                for deliver in [false, true] {
                    states.push(self.with(|state| state.restart_agent(rank, deliver)));
                }
            }
            if self.may_restart_engine {
                states.push(self.with(|state| {
                    state.may_restart_engine = false;
                    state.world.kill_engine(rank);
                    state.world.poll_engine(rank);
                }));
            }
        }
        if self.may_change_map {
            states.push(self.with(|state| {
                state.may_change_map = false;
                for rank in state.world.leaders() {
                    state.world.input(rank, Input::Change(Default::default()));
                }
            }));
        }
        states
    }

    fn restart_agent(&mut self, rank: usize, deliver: bool) {
        self.may_restart_agent = false;
        self.world.kill_agent(rank, deliver);
        self.world.start_agent(rank);
        self.world.poll_engine(rank);
        self.world.input(rank, Input::Tick);
    }

    /// The state after all timeouts of a rank expire; `None` if that would issue a
    /// third number.
    fn expire_timeouts(&self, rank: usize) -> Option<State> {
        let state = self.with(|state| {
            state.world.now = AFTER_TIMEOUTS * (4 - state.ticks[rank]);
            state.ticks[rank] -= 1;
            state.world.input(rank, Input::Tick);
            state.world.now = Duration::ZERO;
        });
        let number = state.world.object.map_or(0, |object| object.lease.number);
        (number <= 2).then_some(state)
    }

    fn with(&self, event: impl Fn(&mut State)) -> State {
        let mut state = self.clone();
        event(&mut state);
        state.world.settle(1);
        state.world.supply_maps();
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
        may_change_map: change,
        may_restart_agent: restart,
        may_restart_engine: restart,
        ..State::new(ranks, false)
    };
    let mut leaders = 0;
    let mut seen = HashSet::from([key(&start)]);
    let mut states = vec![start];
    for level in 1..=depth {
        let mut following = Vec::new();
        for state in &states {
            if state.world.step_maps.len() > MAX_STEPS {
                continue;
            }
            for next in state.successors() {
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
    assert_eq!(leaders, 2, "no change of leader was explored");
    assert!(seen.len() > 1000, "only {} states", seen.len());
}
