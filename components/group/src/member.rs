//! One rank's side of the group: what its engine may run.

use std::time::Duration;

use serde::Serialize;

use crate::{Block, Body, Fence, Message, Order, Output, Rank, Session};

/// What a member counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Counters {
    /// Messages refused because of an old fencing number.
    pub refused: u64,
    /// Grants dropped because they were meant for another life of the rank.
    pub foreign: u64,
    /// Blocks given to the engine.
    pub blocks: u64,
    /// Seals.
    pub seals: u64,
}

/// Guards one engine: it gets no step without a grant of the highest leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct Member {
    rank: Rank,
    session: Session,
    engine: bool,
    floor: Option<u32>,
    fence: Fence,
    sealed: bool,
    leader: Rank,
    furthest: Option<Block>,
    done: u64,
    prepared: Vec<u64>,
    heard: Duration,
    /// What the member counts.
    pub counters: Counters,
}

impl Member {
    /// A member that knows nothing yet. `agent` is the agent's incarnation.
    pub fn new(now: Duration, rank: Rank, agent: u64) -> Member {
        Member {
            rank,
            session: Session { agent, engine: 0 },
            engine: false,
            floor: None,
            fence: Fence::default(),
            sealed: false,
            leader: 0,
            furthest: None,
            done: 0,
            prepared: Vec::new(),
            heard: now,
            counters: Counters::default(),
        }
    }

    /// The highest fencing number known.
    pub fn fence(&self) -> Fence {
        self.fence.max(Fence { number: self.floor.unwrap_or(0), round: 0 })
    }

    /// The rank of the last known leader.
    pub fn leader(&self) -> Rank {
        self.leader
    }

    /// When a leader was last heard.
    pub fn heard(&self) -> Duration {
        self.heard
    }

    /// The present life of the rank.
    pub fn session(&self) -> Session {
        self.session
    }

    /// The furthest block granted in this life of the rank.
    pub fn furthest(&self) -> Option<Block> {
        self.furthest
    }

    /// Whether the engine and the platform's highest number are known.
    pub fn is_ready(&self) -> bool {
        self.engine && self.floor.is_some()
    }

    /// Whether the platform's highest number is known.
    pub fn is_informed(&self) -> bool {
        self.floor.is_some()
    }

    /// Whether this life of the rank is sealed.
    pub fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Takes in the platform's highest number: lower ones are refused. A
    /// member that lost its memory obeys nobody before it knows the number.
    pub fn raise(&mut self, number: u32) {
        self.floor = Some(self.floor.unwrap_or(0).max(number));
    }

    /// Sets the time at which a leader was last heard.
    pub fn wait_from(&mut self, now: Duration) {
        self.heard = now;
    }

    /// The engine has the incarnation `engine`. A new one holds no map and no
    /// grants, so the rank begins a new life.
    pub fn start(&mut self, engine: u64) {
        if self.engine && self.session.engine == engine {
            return;
        }
        self.engine = true;
        self.session.engine = engine;
        self.begin_life();
    }

    /// It is unknown whether the engine took what it was granted, so the rank
    /// begins a new life as if its agent had started anew. The highest fencing
    /// number stays known.
    pub fn lose(&mut self) {
        self.session.agent += 1;
        self.begin_life();
    }

    fn begin_life(&mut self) {
        self.sealed = false;
        self.furthest = None;
        self.done = 0;
        self.prepared.clear();
    }

    /// The engine holds the expert map `version`.
    pub fn prepared(&mut self, engine: u64, version: u64) -> Vec<Output> {
        if !self.engine || engine != self.session.engine {
            return Vec::new();
        }
        self.hold(version);
        self.reply(Body::Prepared { session: self.session, version })
    }

    /// The engine's next step is `next`.
    pub fn ran(&mut self, engine: u64, next: u64) -> Vec<Output> {
        if !self.engine || engine != self.session.engine {
            return Vec::new();
        }
        let before = self.done;
        self.done = self.done.max(next);
        let begun = self.furthest.is_some_and(|b| before < b.from && self.done >= b.from);
        if begun { self.progress() } else { Vec::new() }
    }

    /// The message that asks to be sealed.
    pub fn hello(&self, to: Rank) -> Output {
        self.send(to, Body::Hello { session: self.session })
    }

    /// Takes a message from a leader.
    pub fn step(&mut self, now: Duration, message: Message) -> Vec<Output> {
        if !self.is_ready() {
            return Vec::new();
        }
        let Message { from, fence, body } = message;
        if fence < self.fence() {
            self.counters.refused += 1;
            return vec![self.send(from, Body::Refused)];
        }
        if let Body::Seal = body {
            return self.seal(now, from, fence);
        }
        if !self.sealed || fence != self.fence {
            return vec![self.hello(from)];
        }
        self.heard = now;
        match body {
            Body::Prepare { session, .. } | Body::Grant { session, .. }
                if session != self.session =>
            {
                self.counters.foreign += 1;
                vec![self.hello(from)]
            }
            Body::Prepare { map, .. } if self.prepared.contains(&map.version) => {
                self.reply(Body::Prepared { session: self.session, version: map.version })
            }
            Body::Prepare { map, .. } => vec![Output::Order(Order::Prepare { fence, map })],
            Body::Grant { block, .. } => self.grant(block),
            _ => Vec::new(),
        }
    }

    fn seal(&mut self, now: Duration, from: Rank, fence: Fence) -> Vec<Output> {
        self.fence = fence;
        self.leader = from;
        self.heard = now;
        self.sealed = true;
        self.counters.seals += 1;
        self.reply(Body::Sealed {
            session: self.session,
            furthest: self.furthest,
            prepared: self.prepared.clone(),
        })
    }

    fn grant(&mut self, block: Block) -> Vec<Output> {
        let end = self.furthest.map_or(0, |held| held.to);
        if block.from < end || !self.prepared.contains(&block.map) {
            return self.progress();
        }
        // Steps that lie between are never run by this rank.
        if block.from > end {
            self.done = self.done.max(block.from);
        }
        self.furthest = Some(block);
        // Versions rise from block to block: lower ones are of no more use.
        self.prepared.retain(|version| *version >= block.map);
        self.counters.blocks += 1;
        let mut outputs = vec![Output::Order(Order::Run { fence: self.fence, block })];
        if self.done >= block.from {
            outputs.extend(self.progress());
        }
        outputs
    }

    fn progress(&self) -> Vec<Output> {
        let to = self.furthest.map_or(0, |held| held.to);
        self.reply(Body::Progress { session: self.session, to, done: self.done })
    }

    fn hold(&mut self, version: u64) {
        if !self.prepared.contains(&version) {
            self.prepared.push(version);
        }
    }

    fn reply(&self, body: Body) -> Vec<Output> {
        if !self.sealed {
            return Vec::new();
        }
        vec![self.send(self.leader, body)]
    }

    fn send(&self, to: Rank, body: Body) -> Output {
        Output::Send { to, message: Message { from: self.rank, fence: self.fence(), body } }
    }
}
