//! Effect of the block length on messages and stalls, on a simulated clock:
//! `cargo run --release -p group --example block`.

use std::collections::BTreeMap;
use std::time::Duration;

use group::{Agent, Input, Message, Object, Order, Output, Settings};

/// Duration of one step, in microseconds.
const STEP_US: u64 = 28_000;
/// One-way network delay between two agents, in microseconds.
const DELAY_US: u64 = 1_000;
/// When the leader is killed and when the run ends, in microseconds.
const KILL_AT_US: u64 = 20_000_000;
const END_US: u64 = 40_000_000;
const RANKS: u16 = 32;

enum Event {
    Tick,
    Message(usize, Message),
    StepFinished(usize, u64),
}

struct Run {
    settings: Settings,
    agents: Vec<Option<Agent>>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    idle_from: Vec<u64>,
    object: Option<Object>,
    messages: u64,
    steps: u64,
    finished_at: Vec<u64>,
}

impl Run {
    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn input(&mut self, time: u64, rank: usize, input: Input) {
        let now = Duration::from_micros(time);
        let Some(agent) = &mut self.agents[rank] else { return };
        for output in agent.step(now, input) {
            match output {
                Output::Send { to, message } => {
                    self.messages += 1;
                    self.schedule(time + DELAY_US, Event::Message(usize::from(to), message));
                }
                Output::Order(Order::Prepare { map, .. }) => {
                    self.input(time, rank, Input::Prepared(1, map.version));
                }
                Output::Order(Order::Run { block, .. }) => {
                    for step in block.from..block.to {
                        self.idle_from[rank] = self.idle_from[rank].max(time) + STEP_US;
                        self.schedule(self.idle_from[rank], Event::StepFinished(rank, step + 1));
                    }
                }
                Output::Load => self.input(time, rank, Input::Loaded(self.object)),
                Output::Store { lease, .. } => {
                    let version = self.object.map_or(1, |object| object.version + 1);
                    self.object = Some(Object { version, lease });
                    self.input(time, rank, Input::Stored);
                    self.input(time, rank, Input::Change(Default::default()));
                }
            }
        }
    }

    fn handle_event(&mut self, time: u64, event: Event) {
        match event {
            Event::Tick => {
                if (KILL_AT_US..KILL_AT_US + 50_000).contains(&time) {
                    // Restart the leader's agent process.
                    let is_leader =
                        |a: &Option<Agent>| a.as_ref().is_some_and(|a| a.leader().is_some());
                    if let Some(rank) = self.agents.iter().position(is_leader) {
                        let now = Duration::from_micros(time);
                        self.agents[rank] = Some(Agent::new(now, rank as u16, 2, self.settings));
                        self.input(time, rank, Input::Started(1));
                    }
                }
                for rank in 0..usize::from(RANKS) {
                    self.input(time, rank, Input::Tick);
                }
                self.schedule(time + 50_000, Event::Tick);
            }
            Event::Message(rank, message) => self.input(time, rank, Input::Message(message)),
            Event::StepFinished(rank, next) => {
                if rank == 0 {
                    self.steps += 1;
                    self.finished_at.push(time);
                }
                self.input(time, rank, Input::Advanced(1, next));
            }
        }
    }
}

fn main() {
    println!(
        "{:>5} {:>18} {:>14} {:>14}",
        "block", "messages/step/rank", "stalled steps", "steps/s"
    );
    for block in [1, 2, 4, 8, 16, 32, 64] {
        let settings = Settings {
            ranks: RANKS,
            block,
            heartbeat: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
            stagger: Duration::from_millis(100),
        };
        let agent = |rank| Some(Agent::new(Duration::ZERO, rank, 1, settings));
        let mut run = Run {
            settings,
            agents: (0..RANKS).map(agent).collect(),
            events: BTreeMap::new(),
            sequence: 0,
            idle_from: vec![0; usize::from(RANKS)],
            object: None,
            messages: 0,
            steps: 0,
            finished_at: Vec::new(),
        };
        for rank in 0..usize::from(RANKS) {
            run.input(0, rank, Input::Started(1));
        }
        run.schedule(0, Event::Tick);
        let mut steady = (0, 0, 0, 0);
        while let Some(((time, _), event)) = run.events.pop_first() {
            if time > END_US {
                break;
            }
            if time <= 10_000_000 {
                steady = (run.messages, run.steps, run.messages, run.steps);
            } else if time < KILL_AT_US {
                (steady.2, steady.3) = (run.messages, run.steps);
            }
            run.handle_event(time, event);
        }
        let after = run.finished_at.iter().filter(|time| **time >= KILL_AT_US - STEP_US);
        let gap = after.clone().zip(after.skip(1)).map(|(a, b)| b - a).max().unwrap_or(0);
        let steps = (steady.3 - steady.1) as f64;
        println!(
            "{block:>5} {:>18.2} {:>14.1} {:>14.2}",
            (steady.2 - steady.0) as f64 / steps / f64::from(RANKS),
            gap.saturating_sub(STEP_US) as f64 / STEP_US as f64,
            steps / 10.0,
        );
    }
}
