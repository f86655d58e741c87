//! The agent of one rank: its member, and the leader while it leads.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{Body, Leader, Member, Message, Order, Rank};

/// What all agents of a group must be told alike.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Settings {
    /// The number of ranks.
    pub ranks: Rank,
    /// Steps in a block.
    pub block: u64,
    /// The interval of heartbeats and repeated messages.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "heartbeat_ms")]
    pub heartbeat: Duration,
    /// Silence of the leader after which a member stands.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// Further wait for each rank between the old leader and the candidate.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stagger_ms")]
    pub stagger: Duration,
}

/// Value of the platform's object `group/NAME`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The highest number issued.
    pub number: u32,
    /// The rank that holds it.
    pub rank: Rank,
    /// The incarnation of that rank's agent.
    pub agent: u64,
}

/// The object `group/NAME` with its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Object {
    /// The platform's version of the object.
    pub version: u64,
    /// The value.
    pub lease: Lease,
}

/// What an agent is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message from an agent of the group.
    Message(Message),
    /// Reply to [`Output::Load`].
    Loaded(Option<Object>),
    /// Reply to [`Output::Store`]: written.
    Stored,
    /// Reply to [`Output::Store`]: the version was another.
    Conflict,
    /// No reply to a load or store, whose effect is unknown.
    Failed,
    /// The engine answers and has this incarnation.
    Started(u64),
    /// The engine of this incarnation holds the expert map.
    Prepared(u64, u64),
    /// The engine of this incarnation is to run this step next.
    Advanced(u64, u64),
    /// The engine may not have taken an order to run steps.
    Lost,
    /// The content of the expert map to use from now on; for the leader.
    Change(Bytes),
    /// A planned stop: hand over and never lead again.
    Resign,
}

/// What an agent wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message to the agent of a rank.
    Send {
        /// The rank.
        to: Rank,
        /// The message.
        message: Message,
    },
    /// Give the engine an order, after all orders before.
    Order(Order),
    /// Read the object `group/NAME`. At most one platform call is open.
    Load,
    /// Write the object if it still has the version `expect`; `None` creates it.
    Store {
        /// The version that the object must have.
        expect: Option<u64>,
        /// The new value.
        lease: Lease,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
enum Call {
    None,
    Load,
    Store,
}

/// The agent of one rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct Agent {
    rank: Rank,
    incarnation: u64,
    settings: Settings,
    /// The member.
    pub member: Member,
    leader: Option<Leader>,
    call: Call,
    called: Option<Duration>,
    candidate: bool,
    attempt: u32,
    seen: u32,
    leaving: bool,
    greeted: Option<Duration>,
}

impl Agent {
    /// The agent of `rank`; `incarnation` rises with each start.
    ///
    /// ```
    /// use std::time::Duration;
    /// let settings = group::Settings {
    ///     ranks: 2,
    ///     block: 8,
    ///     heartbeat: Duration::from_millis(200),
    ///     timeout: Duration::from_secs(2),
    ///     stagger: Duration::from_millis(100),
    /// };
    /// let mut agent = group::Agent::new(Duration::ZERO, 0, 1, settings);
    /// // Nothing is obeyed before the platform's highest number is known.
    /// assert_eq!(agent.step(Duration::ZERO, group::Input::Tick), vec![group::Output::Load]);
    /// ```
    pub fn new(now: Duration, rank: Rank, incarnation: u64, settings: Settings) -> Agent {
        Agent {
            rank,
            incarnation,
            settings,
            member: Member::new(now, rank, incarnation),
            leader: None,
            call: Call::None,
            called: None,
            candidate: false,
            attempt: 0,
            seen: 0,
            leaving: false,
            greeted: None,
        }
    }

    /// The leader, while this agent leads.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// The state, bounded by the number of ranks.
    pub fn dump(&self) -> serde_json::Value {
        serde_json::to_value(self).unwrap_or_default()
    }

    /// Takes an input. Messages to the agent's own rank are among the outputs
    /// too and are fed back like any other.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Message(message) => self.message(now, message),
            Input::Loaded(object) => self.loaded(now, object),
            Input::Stored => self.stored(now),
            Input::Conflict | Input::Failed => self.failed(),
            Input::Started(engine) => {
                self.member.start(engine);
                Vec::new()
            }
            Input::Prepared(engine, version) => self.member.prepared(engine, version),
            Input::Advanced(engine, next) => self.member.ran(engine, next),
            Input::Lost => {
                self.greeted = None;
                self.member.lose();
                Vec::new()
            }
            Input::Change(content) => {
                self.leader.as_mut().map_or_else(Vec::new, |leader| leader.change(content))
            }
            Input::Resign => self.resign(),
        }
    }

    fn tick(&mut self, now: Duration) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.call == Call::None && (!self.is_known() || self.stands(now)) {
            outputs.extend(self.load(now));
        }
        if let Some(leader) = &mut self.leader {
            outputs.extend(leader.tick(now));
        }
        let due = self.greeted.is_none_or(|at| self.is_due(now, at));
        if self.member.is_ready() && !self.member.is_sealed() && due {
            self.greeted = Some(now);
            outputs.extend((0..self.settings.ranks).map(|rank| self.member.hello(rank)));
        }
        outputs
    }

    fn is_due(&self, now: Duration, at: Duration) -> bool {
        now.saturating_sub(at) >= self.settings.heartbeat
    }

    fn is_known(&self) -> bool {
        self.member.is_informed()
    }

    /// Whether the leader has been silent for so long that this rank stands.
    /// The ranks after the old leader stand one after the other.
    fn stands(&mut self, now: Duration) -> bool {
        if self.leader.is_some() || self.leaving || !self.member.is_ready() {
            return false;
        }
        let ranks = self.settings.ranks;
        let place = (self.rank + ranks - self.member.leader() % ranks + ranks - 1) % ranks;
        let wait = self.settings.timeout + self.settings.stagger * u32::from(place);
        self.candidate = now.saturating_sub(self.member.heard()) >= wait;
        self.candidate
    }

    fn load(&mut self, now: Duration) -> Option<Output> {
        if self.called.is_some_and(|at| !self.is_due(now, at)) {
            return None;
        }
        self.called = Some(now);
        self.call = Call::Load;
        Some(Output::Load)
    }

    fn loaded(&mut self, now: Duration, object: Option<Object>) -> Vec<Output> {
        self.call = Call::None;
        let number = object.map_or(0, |object| object.lease.number);
        self.member.raise(number);
        if !self.candidate || self.leader.is_some() {
            self.seen = self.seen.max(number);
            return Vec::new();
        }
        let own = object.is_some_and(|object| {
            let lease = object.lease;
            lease.rank == self.rank && lease.agent == self.incarnation
        });
        if own && number == self.attempt {
            return self.lead(now, number);
        }
        // Another has just won: it gets its time.
        if number > self.seen {
            self.seen = number;
            self.candidate = false;
            self.member.wait_from(now);
            return Vec::new();
        }
        self.call = Call::Store;
        self.attempt = number + 1;
        let lease = Lease { number: self.attempt, rank: self.rank, agent: self.incarnation };
        vec![Output::Store { expect: object.map(|object| object.version), lease }]
    }

    fn stored(&mut self, now: Duration) -> Vec<Output> {
        self.call = Call::None;
        self.lead(now, self.attempt)
    }

    /// The effect is unknown, or another was first: the next load tells.
    fn failed(&mut self) -> Vec<Output> {
        self.call = Call::None;
        Vec::new()
    }

    fn lead(&mut self, now: Duration, number: u32) -> Vec<Output> {
        self.candidate = false;
        self.attempt = 0;
        self.seen = self.seen.max(number);
        let superseded = self.member.fence().number > number;
        if superseded || self.leaving {
            return Vec::new();
        }
        let (leader, outputs) = Leader::new(now, self.rank, self.settings, number);
        self.leader = Some(leader);
        outputs
    }

    fn message(&mut self, now: Duration, message: Message) -> Vec<Output> {
        match message.body {
            Body::Resign if message.fence == self.member.fence() => {
                let ranks = u32::from(self.settings.ranks);
                let wait = self.settings.timeout + self.settings.stagger * ranks;
                self.member.wait_from(now.saturating_sub(wait));
                Vec::new()
            }
            Body::Seal | Body::Heartbeat | Body::Prepare { .. } | Body::Grant { .. } => {
                let outputs = self.member.step(now, message);
                self.yield_to_member();
                outputs
            }
            _ => self.report(message),
        }
    }

    fn report(&mut self, message: Message) -> Vec<Output> {
        let Some(leader) = &mut self.leader else { return Vec::new() };
        if message.fence > leader.fence() {
            self.leader = None;
            return Vec::new();
        }
        leader.step(message)
    }

    /// A leader whose own rank is sealed to a higher number is superseded.
    fn yield_to_member(&mut self) {
        let fence = self.member.fence();
        if self.leader.as_ref().is_some_and(|leader| leader.fence() < fence) {
            self.leader = None;
        }
    }

    fn resign(&mut self) -> Vec<Output> {
        self.leaving = true;
        let Some(leader) = self.leader.take() else { return Vec::new() };
        let to = (self.rank + 1) % self.settings.ranks;
        let message = Message { from: self.rank, fence: leader.fence(), body: Body::Resign };
        vec![Output::Send { to, message }]
    }
}
