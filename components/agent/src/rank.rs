//! The rank of the backend server's engine within its group.
//!
//! A pipe around [`group::Agent`]: messages for the agent's own rank are fed
//! back, those for others go to the members' links. Orders reach the engine
//! one at a time and in the order in which they were given.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use group::{Lease, Order, Output};
use serde::Serialize;
use serde_json::{Value, json};
use tables::Name;
use wire::Message;

use crate::membership::Membership;

/// Longest wait for the engine's reply to an order. An engine that ignores
/// fencing numbers is left alone for as long when the agent starts.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The engine took it.
    Taken,
    /// The engine refused it, or its effect is unknown.
    Failed,
}

/// The expert map in the platform, an object `map/NAME`.
#[derive(Clone, Debug, PartialEq)]
pub struct Map {
    /// The platform's version of the object.
    pub version: u64,
    /// The content, in the form that the engines take.
    pub content: Value,
}

/// What a rank is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message came from the process with this link address.
    Message(Name, group::Message),
    /// The reply to a load or store of the object `group/NAME`.
    Lease(group::Input),
    /// The reply to the open order.
    Reply(Reply),
    /// The engine's incarnation and next step; nothing if it can't be reached.
    Status(Option<(u64, u64)>),
    /// The reply to [`Effect::Map`]: the object, or its absence. Nothing if the
    /// platform could not be read.
    Map(Option<Option<Map>>),
    /// A planned stop.
    Resign,
}

/// What a rank wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to the process at this address.
    Send(Name, Message),
    /// Give the engine an order; no other is open.
    Order(Order),
    /// Read the engine's incarnation and next step.
    Status,
    /// Read the object `group/NAME`.
    Load,
    /// Write the object `group/NAME`.
    Store {
        /// The version that the object must have.
        expect: Option<u64>,
        /// The new value.
        lease: Lease,
    },
    /// Read the object `map/NAME`.
    Map,
}

/// What a rank counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Steps that the engine was seen to run.
    pub steps: u64,
    /// Orders that failed or were refused by the engine.
    pub failed: u64,
    /// Lives of the rank that ended with an order to run steps.
    pub lost: u64,
    /// Messages from processes that are not the member that they name.
    pub strangers: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Open {
    None,
    /// An order of the rank's present life.
    Present,
    /// An order of a former life.
    Former,
}

/// The rank of one engine.
#[derive(Debug)]
pub struct Rank {
    membership: Membership,
    agent: group::Agent,
    started: Duration,
    engine: Option<u64>,
    next: u64,
    orders: VecDeque<Order>,
    open: Open,
    order: Option<Order>,
    asking: bool,
    reading: bool,
    read: Option<Duration>,
    /// The leader's fencing number and the map's version, as last handed over.
    given: Option<(u32, u64)>,
    counters: Counters,
}

impl Rank {
    /// A rank that asks for all it needs to know with its first ticks.
    pub fn new(now: Duration, incarnation: u64, membership: Membership) -> Rank {
        let agent = group::Agent::new(now, membership.rank, incarnation, membership.to_group());
        Rank {
            membership,
            agent,
            started: now,
            engine: None,
            next: 0,
            orders: VecDeque::new(),
            open: Open::None,
            order: None,
            asking: false,
            reading: false,
            read: None,
            given: None,
            counters: Counters::default(),
        }
    }

    /// The state machine of the group.
    pub fn agent(&self) -> &group::Agent {
        &self.agent
    }

    /// What the rank has counted.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The step that the engine runs next, as last heard.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The state as JSON, bounded by the number of ranks.
    pub fn dump(&self) -> Value {
        json!({
            "name": self.membership.name,
            "rank": self.membership.rank,
            "fenced": self.membership.fenced,
            "next": self.next,
            "orders_waiting": self.orders.len(),
            "counters": self.counters,
            "agent": self.agent.dump(),
        })
    }

    /// Takes one input and says what to do.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut effects),
            Input::Message(link, message) => self.message(now, &link, message, &mut effects),
            Input::Lease(input) => self.feed(now, input, &mut effects),
            Input::Reply(reply) => self.reply(now, reply, &mut effects),
            Input::Status(status) => self.status(now, status, &mut effects),
            Input::Map(map) => self.map(now, map, &mut effects),
            Input::Resign => self.feed(now, group::Input::Resign, &mut effects),
        }
        self.send_order(&mut effects);
        effects
    }

    fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.feed(now, group::Input::Tick, effects);
        // A former agent's last order may still be on its way to an engine
        // that would obey it.
        let held = !self.membership.fenced && now.saturating_sub(self.started) < ORDER_TIMEOUT;
        if !self.asking && !held {
            self.asking = true;
            effects.push(Effect::Status);
        }
        let interval = self.membership.map_interval;
        let due = self.read.is_none_or(|read| now.saturating_sub(read) >= interval);
        if self.agent.leader().is_some() && !self.reading && due {
            self.reading = true;
            self.read = Some(now);
            effects.push(Effect::Map);
        }
    }

    fn message(
        &mut self,
        now: Duration,
        link: &str,
        message: group::Message,
        effects: &mut Vec<Effect>,
    ) {
        if self.membership.rank_of(link) != Some(message.from) {
            self.counters.strangers += 1;
            return;
        }
        self.feed(now, group::Input::Message(message), effects);
    }

    /// Feeds the agent, and what it tells its own rank, until nothing is left.
    fn feed(&mut self, now: Duration, input: group::Input, effects: &mut Vec<Effect>) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for output in self.agent.step(now, input) {
                match output {
                    Output::Send { to, message } if to == self.membership.rank => {
                        inputs.push_back(group::Input::Message(message));
                    }
                    Output::Send { to, message } => {
                        if let Some(link) = self.membership.members.get(usize::from(to)) {
                            effects.push(Effect::Send(link.clone(), Message::Group(message)));
                        }
                    }
                    Output::Order(order) => self.queue(order),
                    Output::Load => effects.push(Effect::Load),
                    Output::Store { expect, lease } => {
                        effects.push(Effect::Store { expect, lease })
                    }
                }
            }
        }
    }

    /// A map is asked for again until the engine holds it: one order suffices.
    fn queue(&mut self, order: Order) {
        let known = self.orders.contains(&order) || self.order.as_ref() == Some(&order);
        if !known {
            self.orders.push_back(order);
        }
    }

    fn send_order(&mut self, effects: &mut Vec<Effect>) {
        if self.open != Open::None {
            return;
        }
        let Some(order) = self.orders.pop_front() else { return };
        self.open = Open::Present;
        self.order = Some(order.clone());
        effects.push(Effect::Order(order));
    }

    fn reply(&mut self, now: Duration, reply: Reply, effects: &mut Vec<Effect>) {
        let present = self.open == Open::Present;
        self.open = Open::None;
        let Some(order) = self.order.take() else { return };
        if reply == Reply::Failed {
            self.counters.failed += 1;
        }
        if !present {
            return;
        }
        match (order, reply, self.engine) {
            (Order::Prepare { map, .. }, Reply::Taken, Some(engine)) => {
                self.feed(now, group::Input::Prepared(engine, map.version), effects);
            }
            (Order::Run { .. }, Reply::Failed, _) => {
                self.counters.lost += 1;
                self.forget_orders();
                self.feed(now, group::Input::Lost, effects);
            }
            _ => {}
        }
    }

    /// The rank begins a new life, in which former orders mean nothing.
    fn forget_orders(&mut self) {
        self.orders.clear();
        if self.open == Open::Present {
            self.open = Open::Former;
        }
    }

    fn status(&mut self, now: Duration, status: Option<(u64, u64)>, effects: &mut Vec<Effect>) {
        self.asking = false;
        let Some((engine, next)) = status else { return };
        if self.engine != Some(engine) {
            self.engine = Some(engine);
            self.forget_orders();
            self.next = next;
            self.feed(now, group::Input::Started(engine), effects);
        }
        // Steps between two fencing numbers' ranges are left out, not run.
        if self.next >> u32::BITS == next >> u32::BITS {
            self.counters.steps += next.saturating_sub(self.next);
        }
        self.next = next;
        self.feed(now, group::Input::Advanced(engine, next), effects);
    }

    fn map(&mut self, now: Duration, map: Option<Option<Map>>, effects: &mut Vec<Effect>) {
        self.reading = false;
        let Some(leader) = self.agent.leader() else { return };
        let number = leader.fence().number;
        let Some(read) = map else { return };
        // An absent object has the version 0.
        let version = read.as_ref().map_or(0, |map| map.version);
        if self.given == Some((number, version)) {
            return;
        }
        let content = read.map(|map| map.content).or_else(|| self.membership.map.clone());
        let Some(content) = content else { return };
        self.given = Some((number, version));
        let content = Bytes::from(content.to_string());
        self.feed(now, group::Input::Change(content), effects);
    }
}
