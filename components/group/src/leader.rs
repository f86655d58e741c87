//! The leader's side: seals the ranks, prepares maps, grants blocks of steps.

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

/// Leads a group under one number of the platform.
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
    waiting: Option<Bytes>,
    maps: u32,
    sent: Duration,
}

impl Leader {
    /// A leader under `number`, and the seals that it begins with.
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
            // No leader before has granted steps from here on.
            next: u64::from(number) << 32,
            target: None,
            waiting: None,
            maps: 0,
            sent: now,
        };
        let outputs = leader.all(Body::Seal);
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

    /// Whether all ranks are sealed.
    pub fn is_granting(&self) -> bool {
        self.granting
    }

    /// Whether the leader has not been given an expert map yet.
    pub fn needs_map(&self) -> bool {
        self.target.is_none()
    }

    /// A new expert map: it is prepared on all ranks, then takes effect with
    /// the first block that is granted after. It waits for the one before, so
    /// that engines never hold more than two maps of one leader.
    pub fn change(&mut self, content: Bytes) -> Vec<Output> {
        if self.target.is_some() && !self.is_in_force() {
            self.waiting = Some(content);
            return Vec::new();
        }
        self.maps += 1;
        let version = u64::from(self.fence.number) << 32 | u64::from(self.maps);
        self.target = Some(Map { version, content });
        if self.granting { self.prepare() } else { Vec::new() }
    }

    /// Whether the last block granted is under the newest map.
    pub fn is_in_force(&self) -> bool {
        let target = self.target.as_ref().map(|map| map.version);
        target.is_some() && target == self.block.map(|block| block.map)
    }

    /// Repeats what has not been answered; call it on each tick.
    pub fn tick(&mut self, now: Duration) -> Vec<Output> {
        if now.saturating_sub(self.sent) < self.settings.heartbeat {
            return Vec::new();
        }
        self.sent = now;
        if !self.granting {
            let unsealed = |rank: &Rank| !self.followers[usize::from(*rank)].sealed;
            return (0..self.settings.ranks)
                .map(|rank| {
                    let body = if unsealed(&rank) { Body::Seal } else { Body::Heartbeat };
                    self.send(rank, body)
                })
                .collect();
        }
        // A repeated grant tells that the leader is there as well.
        let begun = |rank: &Rank| {
            let follower = &self.followers[usize::from(*rank)];
            self.block.is_none_or(|block| follower.has_begun(&block))
        };
        let beat = |rank: Rank| self.send(rank, Body::Heartbeat);
        let mut outputs: Vec<Output> = (0..self.settings.ranks).filter(begun).map(beat).collect();
        outputs.extend(self.prepare());
        outputs.extend(self.grant());
        outputs
    }

    /// Takes a message from a member. Its fencing number is not above this
    /// leader's, which the agent sees to.
    pub fn step(&mut self, message: Message) -> Vec<Output> {
        let Message { from, fence, body } = message;
        let index = usize::from(from);
        if index >= self.followers.len() {
            return Vec::new();
        }
        match body {
            Body::Hello { session } => return self.hello(from, session),
            _ if fence != self.fence => return Vec::new(),
            Body::Sealed { session, furthest, prepared } => {
                return self.sealed(from, session, furthest, prepared);
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
        self.advance()
    }

    fn hello(&mut self, from: Rank, session: Session) -> Vec<Output> {
        let follower = &mut self.followers[usize::from(from)];
        let late = follower.sealed && session == follower.session;
        if late || session < follower.session {
            return Vec::new();
        }
        if self.granting {
            return self.seal_again();
        }
        follower.sealed = false;
        vec![self.send(from, Body::Seal)]
    }

    /// A rank has lost its memory: nothing granted before is granted again.
    fn seal_again(&mut self) -> Vec<Output> {
        self.fence.round += 1;
        self.granting = false;
        for follower in &mut self.followers {
            follower.sealed = false;
        }
        self.all(Body::Seal)
    }

    fn sealed(
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
            return if session == follower.session { Vec::new() } else { self.seal_again() };
        }
        let to = furthest.map_or(0, |block| block.to);
        *follower = Follower { session, sealed: true, furthest, prepared, to, done: 0 };
        if self.followers.iter().all(|follower| follower.sealed) {
            return self.resume();
        }
        Vec::new()
    }

    /// All ranks are sealed: goes on from the furthest block, or, if a rank
    /// does not know what it was granted, beyond every step ever granted.
    fn resume(&mut self) -> Vec<Output> {
        self.granting = true;
        let known = self.followers.iter().all(|follower| follower.furthest.is_some());
        let furthest = self.followers.iter().filter_map(|f| f.furthest).max_by_key(|b| b.to);
        let end = furthest.map_or(0, |block| block.to);
        self.block = if known { furthest } else { None };
        self.next = if known { end } else { self.next.max(end) };
        let mut outputs = self.prepare();
        outputs.extend(self.grant());
        outputs.extend(self.advance());
        outputs
    }

    fn advance(&mut self) -> Vec<Output> {
        if !self.granting || !self.is_begun() {
            return Vec::new();
        }
        let Some(map) = self.map() else { return Vec::new() };
        let to = self.next + self.settings.block;
        // Steps beyond belong to the next number.
        if to > (u64::from(self.fence.number) + 1) << 32 {
            return Vec::new();
        }
        self.block = Some(Block { from: self.next, to, map });
        self.next = to;
        let mut outputs = self.grant();
        if self.is_in_force()
            && let Some(content) = self.waiting.take()
        {
            outputs.extend(self.change(content));
        }
        outputs
    }

    fn is_begun(&self) -> bool {
        let Some(block) = &self.block else { return true };
        self.followers.iter().all(|follower| follower.has_begun(block))
    }

    /// The map of the next block: the new one once all ranks hold it.
    fn map(&self) -> Option<u64> {
        let target = self.target.as_ref().map(|map| map.version);
        let held = |version: &u64| self.followers.iter().all(|f| f.prepared.contains(version));
        target.filter(held).or(self.block.map(|block| block.map))
    }

    fn prepare(&self) -> Vec<Output> {
        let Some(map) = &self.target else { return Vec::new() };
        let missing =
            |rank: &Rank| !self.followers[usize::from(*rank)].prepared.contains(&map.version);
        let body = |rank: Rank| Body::Prepare {
            session: self.followers[usize::from(rank)].session,
            map: map.clone(),
        };
        (0..self.settings.ranks).filter(missing).map(|rank| self.send(rank, body(rank))).collect()
    }

    fn grant(&self) -> Vec<Output> {
        let Some(block) = self.block else { return Vec::new() };
        let waiting = |rank: &Rank| !self.followers[usize::from(*rank)].has_begun(&block);
        let body =
            |rank: Rank| Body::Grant { session: self.followers[usize::from(rank)].session, block };
        (0..self.settings.ranks).filter(waiting).map(|rank| self.send(rank, body(rank))).collect()
    }

    fn all(&self, body: Body) -> Vec<Output> {
        (0..self.settings.ranks).map(|rank| self.send(rank, body.clone())).collect()
    }

    fn send(&self, to: Rank, body: Body) -> Output {
        Output::Send { to, message: Message { from: self.rank, fence: self.fence, body } }
    }
}
