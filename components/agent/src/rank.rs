//! The rank of the backend server's engine within its group.
//!
//! [`Rank`] connects [`group::Agent`] to its engine and peers. Messages for the
//! own rank are returned to the agent, others are sent to the members' links.
//! Orders are queued: the engine receives one at a time, in order.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use group::{Lease, Order, Output};
use serde::Serialize;
use serde_json::{Value, json};
use tables::Name;
use wire::Message;

use crate::membership::Membership;

/// Timeout of an order to the engine. An unfenced engine gets no status request
/// for the same time after the agent's start.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order, or its effect is unknown.
    Failed,
}

/// The expert map, stored in the platform as the object `map/NAME`.
#[derive(Clone, Debug, PartialEq)]
pub struct Map {
    /// The platform's version of the object.
    pub version: u64,
    /// The content, in the format of the engines.
    pub content: Value,
}

/// Input of a rank.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message was received from the process with this link address.
    Message(Name, group::Message),
    /// The result of a load or store of the object `group/NAME`.
    Lease(group::Input),
    /// The reply to the order in flight.
    Reply(Reply),
    /// The engine's incarnation and next step; `None` if it did not answer.
    Status(Option<(u64, u64)>),
    /// The result of [`Effect::Map`]: `Some(None)` if the object is absent,
    /// `None` if the read failed.
    Map(Option<Option<Map>>),
    /// A planned stop: the rank gives up leadership.
    Resign,
}

/// Effect that the caller of [`Rank::step`] has to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to the process at this address.
    Send(Name, Message),
    /// Send an order to the engine; no other is in flight.
    Order(Order),
    /// Read the engine's incarnation and next step.
    Status,
    /// Read the object `group/NAME`.
    Load,
    /// Write the object `group/NAME`.
    Store {
        /// The expected version; `None` if the object must be absent.
        expect: Option<u64>,
        /// The new value.
        lease: Lease,
    },
    /// Read the object `map/NAME`.
    Map,
}

/// Counters of a rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Steps that the engine has run, according to its status.
    pub steps: u64,
    /// Orders that failed or were refused by the engine.
    pub failed: u64,
    /// Sessions that ended because an order to run steps failed.
    #[serde(rename = "lost")]
    pub lost_sessions: u64,
    /// Messages whose sender's link isn't that of the rank they name.
    #[serde(rename = "strangers")]
    pub wrong_senders: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InFlight {
    None,
    /// An order of the current session is in flight.
    CurrentSession,
    /// An order of an earlier session is in flight; its reply is ignored.
    EarlierSession,
}

/// The rank of one engine.
#[derive(Debug)]
pub struct Rank {
    membership: Membership,
    agent: group::Agent,
    started: Duration,
    engine_incarnation: Option<u64>,
    next_step: u64,
    orders: VecDeque<Order>,
    in_flight: InFlight,
    order: Option<Order>,
    status_requested: bool,
    map_requested: bool,
    last_map_read: Option<Duration>,
    /// Fencing number of the leader and version of the map last passed to it.
    last_map: Option<(u32, u64)>,
    counters: Counters,
}

impl Rank {
    /// A rank without any state; its first ticks request the lease and the status.
    pub fn new(now: Duration, incarnation: u64, membership: Membership) -> Rank {
        let agent =
            group::Agent::new(now, membership.rank, incarnation, membership.to_group_settings());
        Rank {
            membership,
            agent,
            started: now,
            engine_incarnation: None,
            next_step: 0,
            orders: VecDeque::new(),
            in_flight: InFlight::None,
            order: None,
            status_requested: false,
            map_requested: false,
            last_map_read: None,
            last_map: None,
            counters: Counters::default(),
        }
    }

    /// The state machine of the group.
    pub fn agent(&self) -> &group::Agent {
        &self.agent
    }

    /// The counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The engine's next step, as last reported.
    pub fn next_step(&self) -> u64 {
        self.next_step
    }

    /// The state as JSON; its size is bounded by the number of ranks.
    pub fn dump(&self) -> Value {
        json!({
            "name": self.membership.name,
            "rank": self.membership.rank,
            "fenced": self.membership.fenced,
            "next": self.next_step,
            "orders_waiting": self.orders.len(),
            "counters": self.counters,
            "agent": self.agent.dump(),
        })
    }

    /// Handles one input and returns the resulting effects.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::Tick => self.handle_tick(now, &mut effects),
            Input::Message(link, message) => self.handle_message(now, &link, message, &mut effects),
            Input::Lease(input) => self.step_agent(now, input, &mut effects),
            Input::Reply(reply) => self.handle_reply(now, reply, &mut effects),
            Input::Status(status) => self.handle_status(now, status, &mut effects),
            Input::Map(map) => self.handle_map(now, map, &mut effects),
            Input::Resign => self.step_agent(now, group::Input::Resign, &mut effects),
        }
        self.send_order(&mut effects);
        effects
    }

    fn handle_tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.step_agent(now, group::Input::Tick, effects);
        // An unfenced engine may still execute the last order of an agent that
        // ran before this one.
        let delayed = !self.membership.fenced && now.saturating_sub(self.started) < ORDER_TIMEOUT;
        if !self.status_requested && !delayed {
            self.status_requested = true;
            effects.push(Effect::Status);
        }
        let interval = self.membership.map_interval;
        let due =
            self.last_map_read.is_none_or(|last_read| now.saturating_sub(last_read) >= interval);
        if self.agent.leader().is_some() && !self.map_requested && due {
            self.map_requested = true;
            self.last_map_read = Some(now);
            effects.push(Effect::Map);
        }
    }

    fn handle_message(
        &mut self,
        now: Duration,
        link: &str,
        message: group::Message,
        effects: &mut Vec<Effect>,
    ) {
        if self.membership.rank_of(link) != Some(message.from) {
            self.counters.wrong_senders += 1;
            return;
        }
        self.step_agent(now, group::Input::Message(message), effects);
    }

    /// Steps the agent, including the messages that it sends to its own rank.
    fn step_agent(&mut self, now: Duration, input: group::Input, effects: &mut Vec<Effect>) {
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
                    Output::Order(order) => self.enqueue_order(order),
                    Output::Load => effects.push(Effect::Load),
                    Output::Store { expect, lease } => {
                        effects.push(Effect::Store { expect, lease })
                    }
                }
            }
        }
    }

    /// Queues an order. The leader repeats a prepare request until the engine
    /// holds the map, so duplicates are dropped.
    fn enqueue_order(&mut self, order: Order) {
        let duplicate = self.orders.contains(&order) || self.order.as_ref() == Some(&order);
        if !duplicate {
            self.orders.push_back(order);
        }
    }

    fn send_order(&mut self, effects: &mut Vec<Effect>) {
        if self.in_flight != InFlight::None {
            return;
        }
        let Some(order) = self.orders.pop_front() else { return };
        self.in_flight = InFlight::CurrentSession;
        self.order = Some(order.clone());
        effects.push(Effect::Order(order));
    }

    fn handle_reply(&mut self, now: Duration, reply: Reply, effects: &mut Vec<Effect>) {
        let current_session = self.in_flight == InFlight::CurrentSession;
        self.in_flight = InFlight::None;
        let Some(order) = self.order.take() else { return };
        if reply == Reply::Failed {
            self.counters.failed += 1;
        }
        if !current_session {
            return;
        }
        match (order, reply, self.engine_incarnation) {
            (Order::Prepare { map, .. }, Reply::Accepted, Some(engine)) => {
                self.step_agent(now, group::Input::Prepared(engine, map.version), effects);
            }
            (Order::Run { .. }, Reply::Failed, _) => {
                self.counters.lost_sessions += 1;
                self.discard_orders();
                self.step_agent(now, group::Input::Lost, effects);
            }
            _ => {}
        }
    }

    /// Drops all orders at the start of a new session, in which they are invalid.
    fn discard_orders(&mut self) {
        self.orders.clear();
        if self.in_flight == InFlight::CurrentSession {
            self.in_flight = InFlight::EarlierSession;
        }
    }

    fn handle_status(
        &mut self,
        now: Duration,
        status: Option<(u64, u64)>,
        effects: &mut Vec<Effect>,
    ) {
        self.status_requested = false;
        let Some((engine, next)) = status else { return };
        if self.engine_incarnation != Some(engine) {
            self.engine_incarnation = Some(engine);
            self.discard_orders();
            self.next_step = next;
            self.step_agent(now, group::Input::Started(engine), effects);
        }
        // The high half of a step is its fencing number: a jump to the next
        // range skips steps that are never run.
        if self.next_step >> u32::BITS == next >> u32::BITS {
            self.counters.steps += next.saturating_sub(self.next_step);
        }
        self.next_step = next;
        self.step_agent(now, group::Input::Advanced(engine, next), effects);
    }

    fn handle_map(&mut self, now: Duration, map: Option<Option<Map>>, effects: &mut Vec<Effect>) {
        self.map_requested = false;
        let Some(leader) = self.agent.leader() else { return };
        let number = leader.fence().number;
        let Some(read) = map else { return };
        // An absent object counts as version 0.
        let version = read.as_ref().map_or(0, |map| map.version);
        if self.last_map == Some((number, version)) {
            return;
        }
        let content = read.map(|map| map.content).or_else(|| self.membership.map.clone());
        let Some(content) = content else { return };
        self.last_map = Some((number, version));
        let content = Bytes::from(content.to_string());
        self.step_agent(now, group::Input::Change(content), effects);
    }
}
