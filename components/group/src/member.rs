//! The member of a rank: accepts grants and decides what its engine may run.

use std::time::Duration;

use serde::Serialize;

use crate::{Block, Body, Fence, Message, Order, Output, Rank, Session};

/// Counters of a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Counters {
    /// Messages refused because of an outdated fencing number.
    pub refused: u64,
    /// Prepare and grant messages dropped because they were for another session.
    #[serde(rename = "foreign")]
    pub other_session: u64,
    /// Blocks ordered from the engine.
    pub blocks: u64,
    /// Seals accepted.
    pub seals: u64,
}

/// Controls one engine, which runs only steps granted by the leader with the
/// highest known fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct Member {
    rank: Rank,
    session: Session,
    #[serde(rename = "engine")]
    engine_known: bool,
    floor: Option<u32>,
    fence: Fence,
    sealed: bool,
    leader: Rank,
    furthest: Option<Block>,
    done: u64,
    prepared: Vec<u64>,
    #[serde(rename = "heard")]
    last_contact: Duration,
    /// The counters.
    pub counters: Counters,
}

impl Member {
    /// Creates an unsealed member whose engine is not known yet. `agent` is the
    /// agent's incarnation.
    pub fn new(now: Duration, rank: Rank, agent: u64) -> Member {
        Member {
            rank,
            session: Session { agent, engine: 0 },
            engine_known: false,
            floor: None,
            fence: Fence::default(),
            sealed: false,
            leader: 0,
            furthest: None,
            done: 0,
            prepared: Vec::new(),
            last_contact: now,
            counters: Counters::default(),
        }
    }

    /// The highest known fencing number.
    pub fn fence(&self) -> Fence {
        self.fence.max(Fence { number: self.floor.unwrap_or(0), round: 0 })
    }

    /// The rank of the last known leader.
    pub fn leader(&self) -> Rank {
        self.leader
    }

    /// Time of the last message from the current leader.
    pub fn last_contact(&self) -> Duration {
        self.last_contact
    }

    /// The current session of the rank.
    pub fn session(&self) -> Session {
        self.session
    }

    /// The furthest block granted in the current session.
    pub fn furthest(&self) -> Option<Block> {
        self.furthest
    }

    /// Whether the engine's incarnation and the platform's highest number are
    /// known.
    pub fn is_ready(&self) -> bool {
        self.engine_known && self.floor.is_some()
    }

    /// Whether the platform's highest number is known.
    pub fn has_floor(&self) -> bool {
        self.floor.is_some()
    }

    /// Whether the current session is sealed.
    pub fn is_sealed(&self) -> bool {
        self.sealed
    }

    /// Sets the platform's highest number; messages with lower ones are refused.
    /// A restarted member has lost its fencing number, so it accepts no message
    /// until this is set.
    pub fn raise_floor(&mut self, number: u32) {
        self.floor = Some(self.floor.unwrap_or(0).max(number));
    }

    /// Restarts the election timeout as if a message from the leader had arrived
    /// at `now`.
    pub fn reset_timeout(&mut self, now: Duration) {
        self.last_contact = now;
    }

    /// Sets the engine's incarnation. A restarted engine has no maps and no
    /// grants, so the rank begins a new session.
    pub fn set_engine(&mut self, engine: u64) {
        if self.engine_known && self.session.engine == engine {
            return;
        }
        self.engine_known = true;
        self.session.engine = engine;
        self.reset_session();
    }

    /// Begins a new session, as after a restart of the agent, because the engine
    /// may have missed an order. The highest known fencing number is kept.
    pub fn restart_session(&mut self) {
        self.session.agent += 1;
        self.reset_session();
    }

    fn reset_session(&mut self) {
        self.sealed = false;
        self.furthest = None;
        self.done = 0;
        self.prepared.clear();
    }

    /// Records that the engine has loaded the expert map `version`.
    pub fn record_prepared(&mut self, engine: u64, version: u64) -> Vec<Output> {
        if !self.engine_known || engine != self.session.engine {
            return Vec::new();
        }
        self.add_prepared(version);
        self.reply(Body::Prepared { session: self.session, version })
    }

    /// Records that `next` is the engine's next step.
    pub fn record_advance(&mut self, engine: u64, next: u64) -> Vec<Output> {
        if !self.engine_known || engine != self.session.engine {
            return Vec::new();
        }
        let before = self.done;
        self.done = self.done.max(next);
        let begun = self.furthest.is_some_and(|b| before < b.from && self.done >= b.from);
        if begun { self.report_progress() } else { Vec::new() }
    }

    /// The message to `to` that asks for a seal.
    pub fn hello(&self, to: Rank) -> Output {
        self.send(to, Body::Hello { session: self.session })
    }

    /// Handles a message from a leader.
    pub fn handle_message(&mut self, now: Duration, message: Message) -> Vec<Output> {
        if !self.is_ready() {
            return Vec::new();
        }
        let Message { from, fence, body } = message;
        if fence < self.fence() {
            self.counters.refused += 1;
            return vec![self.send(from, Body::Refused)];
        }
        if let Body::Seal = body {
            return self.accept_seal(now, from, fence);
        }
        if !self.sealed || fence != self.fence {
            return vec![self.hello(from)];
        }
        self.last_contact = now;
        match body {
            Body::Prepare { session, .. } | Body::Grant { session, .. }
                if session != self.session =>
            {
                self.counters.other_session += 1;
                vec![self.hello(from)]
            }
            Body::Prepare { map, .. } if self.prepared.contains(&map.version) => {
                self.reply(Body::Prepared { session: self.session, version: map.version })
            }
            Body::Prepare { map, .. } => vec![Output::Order(Order::Prepare { fence, map })],
            Body::Grant { block, .. } => self.accept_grant(block),
            _ => Vec::new(),
        }
    }

    fn accept_seal(&mut self, now: Duration, from: Rank, fence: Fence) -> Vec<Output> {
        self.fence = fence;
        self.leader = from;
        self.last_contact = now;
        self.sealed = true;
        self.counters.seals += 1;
        self.reply(Body::Sealed {
            session: self.session,
            furthest: self.furthest,
            prepared: self.prepared.clone(),
        })
    }

    fn accept_grant(&mut self, block: Block) -> Vec<Output> {
        let end = self.furthest.map_or(0, |held| held.to);
        if block.from < end || !self.prepared.contains(&block.map) {
            return self.report_progress();
        }
        // The rank skips the steps between two blocks.
        if block.from > end {
            self.done = self.done.max(block.from);
        }
        self.furthest = Some(block);
        // Map versions never decrease from block to block, so older maps aren't
        // needed any more.
        self.prepared.retain(|version| *version >= block.map);
        self.counters.blocks += 1;
        let mut outputs = vec![Output::Order(Order::Run { fence: self.fence, block })];
        if self.done >= block.from {
            outputs.extend(self.report_progress());
        }
        outputs
    }

    fn report_progress(&self) -> Vec<Output> {
        let to = self.furthest.map_or(0, |held| held.to);
        self.reply(Body::Progress { session: self.session, to, done: self.done })
    }

    fn add_prepared(&mut self, version: u64) {
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
