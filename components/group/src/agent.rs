//! The agent of one rank: its member, and the leader while this agent leads.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{Body, Leader, Member, Message, Order, Rank};

/// Settings of a group. All of its agents must have the same ones.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Settings {
    /// The number of ranks.
    pub ranks: Rank,
    /// The number of steps in a block.
    pub block: u64,
    /// The interval between heartbeats and between repeated messages.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "heartbeat_ms")]
    pub heartbeat: Duration,
    /// Time without a message from the leader after which an election starts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// Additional wait per rank between the old leader and the candidate.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stagger_ms")]
    pub stagger: Duration,
}

/// Value of the platform's object `group/NAME`, which assigns leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The highest number issued.
    pub number: u32,
    /// The rank that holds this number.
    pub rank: Rank,
    /// The incarnation of that rank's agent.
    pub agent: u64,
}

/// The object `group/NAME` with its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Object {
    /// The version that the platform assigned to the object.
    pub version: u64,
    /// The value.
    pub lease: Lease,
}

/// Events that an agent handles.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message from an agent of the group.
    Message(Message),
    /// Reply to [`Output::Load`].
    Loaded(Option<Object>),
    /// Reply to [`Output::Store`]: the object was written.
    Stored,
    /// Reply to [`Output::Store`]: the object had a different version.
    Conflict,
    /// A load or store got no reply, so its effect is unknown.
    Failed,
    /// The engine responds and has this incarnation.
    Started(u64),
    /// The engine of this incarnation has loaded the expert map of this version.
    Prepared(u64, u64),
    /// The engine of this incarnation will run this step next.
    Advanced(u64, u64),
    /// The engine may have missed an order to run steps.
    Lost,
    /// The content of a new expert map. Ignored unless this agent leads.
    Change(Bytes),
    /// A planned stop: hand over the leadership and never lead again.
    Resign,
}

/// Actions that an agent requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message to the agent of a rank.
    Send {
        /// The rank.
        to: Rank,
        /// The message.
        message: Message,
    },
    /// Send an order to the engine, after all earlier orders.
    Order(Order),
    /// Read the object `group/NAME`. At most one call to the platform is open.
    Load,
    /// Write the object if it has the version `expect`; `None` creates it.
    Store {
        /// The required version of the object.
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
    #[serde(rename = "call")]
    open_call: Call,
    #[serde(rename = "called")]
    last_load: Option<Duration>,
    candidate: bool,
    #[serde(rename = "attempt")]
    attempted_number: u32,
    #[serde(rename = "seen")]
    seen_number: u32,
    #[serde(rename = "leaving")]
    resigned: bool,
    #[serde(rename = "greeted")]
    last_hello: Option<Duration>,
}

impl Agent {
    /// Creates the agent of `rank`. `incarnation` must increase with each start.
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
    /// // The agent accepts no messages until it knows the platform's highest number.
    /// assert_eq!(agent.step(Duration::ZERO, group::Input::Tick), vec![group::Output::Load]);
    /// ```
    pub fn new(now: Duration, rank: Rank, incarnation: u64, settings: Settings) -> Agent {
        Agent {
            rank,
            incarnation,
            settings,
            member: Member::new(now, rank, incarnation),
            leader: None,
            open_call: Call::None,
            last_load: None,
            candidate: false,
            attempted_number: 0,
            seen_number: 0,
            resigned: false,
            last_hello: None,
        }
    }

    /// The leader, if this agent leads.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// The state as JSON. Its size is bounded by the number of ranks.
    pub fn dump(&self) -> serde_json::Value {
        serde_json::to_value(self).unwrap_or_default()
    }

    /// Handles an input. The outputs include messages to the agent's own rank; the
    /// caller must deliver them like any other.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Message(message) => self.handle_message(now, message),
            Input::Loaded(object) => self.handle_loaded(now, object),
            Input::Stored => self.handle_stored(now),
            Input::Conflict | Input::Failed => self.handle_failed(),
            Input::Started(engine) => {
                self.member.set_engine(engine);
                Vec::new()
            }
            Input::Prepared(engine, version) => self.member.record_prepared(engine, version),
            Input::Advanced(engine, next) => self.member.record_advance(engine, next),
            Input::Lost => {
                self.last_hello = None;
                self.member.restart_session();
                Vec::new()
            }
            Input::Change(content) => {
                self.leader.as_mut().map_or_else(Vec::new, |leader| leader.change_map(content))
            }
            Input::Resign => self.resign(),
        }
    }

    fn tick(&mut self, now: Duration) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.open_call == Call::None && (!self.has_floor() || self.check_timeout(now)) {
            outputs.extend(self.load(now));
        }
        if let Some(leader) = &mut self.leader {
            outputs.extend(leader.tick(now));
        }
        let due = self.last_hello.is_none_or(|at| self.is_due(now, at));
        if self.member.is_ready() && !self.member.is_sealed() && due {
            self.last_hello = Some(now);
            outputs.extend((0..self.settings.ranks).map(|rank| self.member.hello(rank)));
        }
        outputs
    }

    fn is_due(&self, now: Duration, at: Duration) -> bool {
        now.saturating_sub(at) >= self.settings.heartbeat
    }

    fn has_floor(&self) -> bool {
        self.member.has_floor()
    }

    /// Whether the election timeout has expired, which makes this rank a
    /// candidate. The timeout grows with the distance from the old leader's rank,
    /// so that ranks become candidates one after the other.
    fn check_timeout(&mut self, now: Duration) -> bool {
        if self.leader.is_some() || self.resigned || !self.member.is_ready() {
            return false;
        }
        let ranks = self.settings.ranks;
        let distance = (self.rank + ranks - self.member.leader() % ranks + ranks - 1) % ranks;
        let wait = self.settings.timeout + self.settings.stagger * u32::from(distance);
        self.candidate = now.saturating_sub(self.member.last_contact()) >= wait;
        self.candidate
    }

    fn load(&mut self, now: Duration) -> Option<Output> {
        if self.last_load.is_some_and(|at| !self.is_due(now, at)) {
            return None;
        }
        self.last_load = Some(now);
        self.open_call = Call::Load;
        Some(Output::Load)
    }

    fn handle_loaded(&mut self, now: Duration, object: Option<Object>) -> Vec<Output> {
        self.open_call = Call::None;
        let number = object.map_or(0, |object| object.lease.number);
        self.member.raise_floor(number);
        if !self.candidate || self.leader.is_some() {
            self.seen_number = self.seen_number.max(number);
            return Vec::new();
        }
        let holds_lease = object.is_some_and(|object| {
            let lease = object.lease;
            lease.rank == self.rank && lease.agent == self.incarnation
        });
        if holds_lease && number == self.attempted_number {
            return self.become_leader(now, number);
        }
        // Another rank has just been elected; wait a full timeout for it.
        if number > self.seen_number {
            self.seen_number = number;
            self.candidate = false;
            self.member.reset_timeout(now);
            return Vec::new();
        }
        // The object may be older than numbers already in use, for example after the
        // platform was restored from a copy. The member knows the highest of them.
        let Some(unused) = self.member.fence().number.checked_add(1) else { return Vec::new() };
        self.open_call = Call::Store;
        self.attempted_number = unused;
        let lease =
            Lease { number: self.attempted_number, rank: self.rank, agent: self.incarnation };
        vec![Output::Store { expect: object.map(|object| object.version), lease }]
    }

    fn handle_stored(&mut self, now: Duration) -> Vec<Output> {
        self.open_call = Call::None;
        self.become_leader(now, self.attempted_number)
    }

    /// Another rank wrote first, or the effect is unknown. The next load shows
    /// which number is current.
    fn handle_failed(&mut self) -> Vec<Output> {
        self.open_call = Call::None;
        Vec::new()
    }

    fn become_leader(&mut self, now: Duration, number: u32) -> Vec<Output> {
        self.candidate = false;
        self.attempted_number = 0;
        self.seen_number = self.seen_number.max(number);
        let superseded = self.member.fence().number > number;
        if superseded || self.resigned {
            return Vec::new();
        }
        let (leader, outputs) = Leader::new(now, self.rank, self.settings, number);
        self.leader = Some(leader);
        outputs
    }

    fn handle_message(&mut self, now: Duration, message: Message) -> Vec<Output> {
        match message.body {
            Body::Resign if message.fence == self.member.fence() => {
                let ranks = u32::from(self.settings.ranks);
                let wait = self.settings.timeout + self.settings.stagger * ranks;
                self.member.reset_timeout(now.saturating_sub(wait));
                Vec::new()
            }
            Body::Seal | Body::Heartbeat | Body::Prepare { .. } | Body::Grant { .. } => {
                let outputs = self.member.handle_message(now, message);
                self.drop_superseded_leader();
                outputs
            }
            _ => self.handle_member_message(message),
        }
    }

    fn handle_member_message(&mut self, message: Message) -> Vec<Output> {
        let Some(leader) = &mut self.leader else { return Vec::new() };
        if message.fence > leader.fence() {
            self.leader = None;
            return Vec::new();
        }
        leader.handle_message(message)
    }

    /// Stops leading if the agent's own rank is sealed under a higher fencing
    /// number.
    fn drop_superseded_leader(&mut self) {
        let fence = self.member.fence();
        if self.leader.as_ref().is_some_and(|leader| leader.fence() < fence) {
            self.leader = None;
        }
    }

    fn resign(&mut self) -> Vec<Output> {
        self.resigned = true;
        let Some(leader) = self.leader.take() else { return Vec::new() };
        let to = (self.rank + 1) % self.settings.ranks;
        let message = Message { from: self.rank, fence: leader.fence(), body: Body::Resign };
        vec![Output::Send { to, message }]
    }
}
