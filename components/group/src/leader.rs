//! The leader of a group: seals the ranks, distributes expert maps and grants
//! blocks of steps.

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::{Block, Body, Fence, Map, Message, Output, Rank, Session, Settings};

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
struct Follower {
    session: Session,
    sealed: bool,
    furthest: Option<Block>,
    prepared: Vec<u64>,
    to: u64,
    done: u64,
}

impl Follower {
    fn has_begun(&self, block: &Block) -> bool {
        self.to >= block.to && self.done >= block.from
    }
}

/// The leader of a group under one number issued by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct Leader {
    rank: Rank,
    settings: Settings,
    fence: Fence,
    granting: bool,
    followers: Vec<Follower>,
    block: Option<Block>,
    next: u64,
    #[serde(skip)]
    target: Option<Map>,
    #[serde(skip)]
    queued: Option<Bytes>,
    maps: u32,
    #[serde(rename = "sent")]
    last_sent: Duration,
}

impl Leader {
    /// Creates a leader under `number`. The outputs are its first seals.
    pub fn new(
        now: Duration,
        rank: Rank,
        settings: Settings,
        number: u32,
    ) -> (Leader, Vec<Output>) {
        let leader = Leader {
            rank,
            settings,
            fence: Fence { number, round: 0 },
            granting: false,
            followers: vec![Follower::default(); usize::from(settings.ranks)],
            block: None,
            // Earlier leaders grant only steps below this one.
            next: u64::from(number) << 32,
            target: None,
            queued: None,
            maps: 0,
            last_sent: now,
        };
        let outputs = leader.broadcast(Body::Seal);
        (leader, outputs)
    }

    /// The fencing number.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// The last block granted under this fencing number.
    pub fn block(&self) -> Option<Block> {
        self.block
    }

    /// Whether all ranks are sealed and steps are being granted.
    pub fn is_granting(&self) -> bool {
        self.granting
    }

    /// Whether the leader still lacks an expert map.
    pub fn needs_map(&self) -> bool {
        self.target.is_none()
    }

    /// Changes the expert map. The new map is loaded on all ranks and takes effect
    /// with the next block granted after that. It is queued while the previous
    /// change is in progress, so engines never hold more than two maps of one
    /// leader.
    pub fn change_map(&mut self, content: Bytes) -> Vec<Output> {
        if self.target.is_some() && !self.is_map_active() {
            self.queued = Some(content);
            return Vec::new();
        }
        self.maps += 1;
        let version = u64::from(self.fence.number) << 32 | u64::from(self.maps);
        self.target = Some(Map { version, content });
        if self.granting { self.send_map() } else { Vec::new() }
    }

    /// Whether the last granted block uses the newest map.
    pub fn is_map_active(&self) -> bool {
        let target = self.target.as_ref().map(|map| map.version);
        target.is_some() && target == self.block.map(|block| block.map)
    }

    /// Sends heartbeats and repeats unanswered messages once per heartbeat
    /// interval. Call it on each tick.
    pub fn tick(&mut self, now: Duration) -> Vec<Output> {
        if now.saturating_sub(self.last_sent) < self.settings.heartbeat {
            return Vec::new();
        }
        self.last_sent = now;
        if !self.granting {
            let unsealed = |rank: &Rank| !self.followers[usize::from(*rank)].sealed;
            return (0..self.settings.ranks)
                .map(|rank| {
                    let body = if unsealed(&rank) { Body::Seal } else { Body::Heartbeat };
                    self.send(rank, body)
                })
                .collect();
        }
        // A repeated grant also serves as a heartbeat.
        let started = |rank: &Rank| {
            let follower = &self.followers[usize::from(*rank)];
            self.block.is_none_or(|block| follower.has_begun(&block))
        };
        let heartbeat = |rank: Rank| self.send(rank, Body::Heartbeat);
        let mut outputs: Vec<Output> =
            (0..self.settings.ranks).filter(started).map(heartbeat).collect();
        outputs.extend(self.send_map());
        outputs.extend(self.send_block());
        outputs
    }

    /// Handles a message from a member. The agent ensures that its fencing number
    /// is not above this leader's.
    pub fn handle_message(&mut self, message: Message) -> Vec<Output> {
        let Message { from, fence, body } = message;
        let index = usize::from(from);
        if index >= self.followers.len() {
            return Vec::new();
        }
        match body {
            Body::Hello { session } => return self.handle_hello(from, session),
            _ if fence != self.fence => return Vec::new(),
            Body::Sealed { session, furthest, prepared } => {
                return self.handle_sealed(from, session, furthest, prepared);
            }
            _ => {}
        }
        let follower = &mut self.followers[index];
        match body {
            Body::Prepared { session, version } if session == follower.session => {
                if !follower.prepared.contains(&version) {
                    follower.prepared.push(version);
                }
            }
            Body::Progress { session, to, done } if session == follower.session => {
                follower.to = follower.to.max(to);
                follower.done = follower.done.max(done);
            }
            _ => return Vec::new(),
        }
        self.grant_next()
    }

    fn handle_hello(&mut self, from: Rank, session: Session) -> Vec<Output> {
        let follower = &mut self.followers[usize::from(from)];
        let delayed = follower.sealed && session == follower.session;
        if delayed || session < follower.session {
            return Vec::new();
        }
        if self.granting {
            return self.restart_round();
        }
        follower.sealed = false;
        vec![self.send(from, Body::Seal)]
    }

    /// Starts a new round because a rank has restarted and lost its state. Blocks
    /// granted in earlier rounds are not repeated.
    fn restart_round(&mut self) -> Vec<Output> {
        self.fence.round += 1;
        self.granting = false;
        for follower in &mut self.followers {
            follower.sealed = false;
        }
        self.broadcast(Body::Seal)
    }

    fn handle_sealed(
        &mut self,
        from: Rank,
        session: Session,
        furthest: Option<Block>,
        prepared: Vec<u64>,
    ) -> Vec<Output> {
        let follower = &mut self.followers[usize::from(from)];
        if session < follower.session {
            return Vec::new();
        }
        if self.granting {
            return if session == follower.session { Vec::new() } else { self.restart_round() };
        }
        let to = furthest.map_or(0, |block| block.to);
        *follower = Follower { session, sealed: true, furthest, prepared, to, done: 0 };
        if self.followers.iter().all(|follower| follower.sealed) {
            return self.resume();
        }
        Vec::new()
    }

    /// Starts granting once all ranks are sealed: from the furthest block or, if a
    /// rank has lost its grants, after every step that may have been granted.
    fn resume(&mut self) -> Vec<Output> {
        self.granting = true;
        let known = self.followers.iter().all(|follower| follower.furthest.is_some());
        let furthest = self.followers.iter().filter_map(|f| f.furthest).max_by_key(|b| b.to);
        let end = furthest.map_or(0, |block| block.to);
        self.block = if known { furthest } else { None };
        self.next = if known { end } else { self.next.max(end) };
        let mut outputs = self.send_map();
        outputs.extend(self.send_block());
        outputs.extend(self.grant_next());
        outputs
    }

    fn grant_next(&mut self) -> Vec<Output> {
        if !self.granting || !self.has_block_begun() {
            return Vec::new();
        }
        let Some(map) = self.next_map() else { return Vec::new() };
        let to = self.next + self.settings.block;
        // Later steps belong to the next number.
        if to > (u64::from(self.fence.number) + 1) << 32 {
            return Vec::new();
        }
        self.block = Some(Block { from: self.next, to, map });
        self.next = to;
        let mut outputs = self.send_block();
        if self.is_map_active()
            && let Some(content) = self.queued.take()
        {
            outputs.extend(self.change_map(content));
        }
        outputs
    }

    fn has_block_begun(&self) -> bool {
        let Some(block) = &self.block else { return true };
        self.followers.iter().all(|follower| follower.has_begun(block))
    }

    /// The map of the next block: the new map once it is loaded on all ranks, the
    /// current one until then.
    fn next_map(&self) -> Option<u64> {
        let target = self.target.as_ref().map(|map| map.version);
        let loaded = |version: &u64| self.followers.iter().all(|f| f.prepared.contains(version));
        target.filter(loaded).or(self.block.map(|block| block.map))
    }

    fn send_map(&self) -> Vec<Output> {
        let Some(map) = &self.target else { return Vec::new() };
        let missing =
            |rank: &Rank| !self.followers[usize::from(*rank)].prepared.contains(&map.version);
        let body = |rank: Rank| Body::Prepare {
            session: self.followers[usize::from(rank)].session,
            map: map.clone(),
        };
        (0..self.settings.ranks).filter(missing).map(|rank| self.send(rank, body(rank))).collect()
    }

    fn send_block(&self) -> Vec<Output> {
        let Some(block) = self.block else { return Vec::new() };
        let pending = |rank: &Rank| !self.followers[usize::from(*rank)].has_begun(&block);
        let body =
            |rank: Rank| Body::Grant { session: self.followers[usize::from(rank)].session, block };
        (0..self.settings.ranks).filter(pending).map(|rank| self.send(rank, body(rank))).collect()
    }

    fn broadcast(&self, body: Body) -> Vec<Output> {
        (0..self.settings.ranks).map(|rank| self.send(rank, body.clone())).collect()
    }

    fn send(&self, to: Rank, body: Body) -> Output {
        Output::Send { to, message: Message { from: self.rank, fence: self.fence, body } }
    }
}
