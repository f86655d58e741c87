//! A simulated engine: a queue, one prefill at a time, slots for running
//! requests, and a prefix cache.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::BLOCK_TOKENS;

/// Concurrency limit of a warm engine.
pub(super) const LIMIT: usize = 32;
/// Concurrency limit of a cold engine.
const COLD_LIMIT: usize = 2;
/// Time to compute one prompt token on a warm engine.
const PREFILL: u64 = 50;
/// Factor by which prefill is slower on a cold engine.
const COLD_FACTOR: u64 = 3;
/// Capacity of the prefix cache, in blocks.
const CACHE: usize = 600;
/// Mean time between two slots becoming free on a saturated warm engine.
const PLACE_GAP: u64 = 2_000 / LIMIT as u64;

/// A queued or running request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Job {
    pub(super) entry: usize,
    pub(super) arrived: u64,
    pub(super) tokens: u32,
    pub(super) blocks: Vec<u64>,
}

/// The load of an engine at the time of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Load {
    running: u32,
    queued: u32,
    prefill: u32,
    cold: bool,
}

/// A started prefill.
pub(super) struct Prefill {
    pub(super) time: u64,
    pub(super) tokens: u32,
    pub(super) cached: u32,
}

pub(super) struct Engine {
    cold: bool,
    pub(super) running: usize,
    pub(super) queue: VecDeque<Job>,
    pub(super) longest: usize,
    current: Option<Job>,
    cache: HashMap<u64, u64>,
    clock: u64,
}

impl Engine {
    pub(super) fn new(cold: bool) -> Engine {
        Engine {
            cold,
            running: 0,
            queue: VecDeque::new(),
            longest: 0,
            current: None,
            cache: HashMap::new(),
            clock: 0,
        }
    }

    fn limit(&self) -> usize {
        if self.cold { COLD_LIMIT } else { LIMIT }
    }

    /// Starts the next prefill if a slot is free.
    pub(super) fn start(&mut self) -> Option<Prefill> {
        self.longest = self.longest.max(self.queue.len());
        if self.current.is_some() || self.running >= self.limit() {
            return None;
        }
        let job = self.queue.pop_front()?;
        let known = job.blocks.iter().take_while(|block| self.cache.contains_key(block)).count();
        let cached = known as u32 * BLOCK_TOKENS;
        let factor = if self.cold { COLD_FACTOR } else { 1 };
        let time = u64::from(job.tokens - cached) * PREFILL * factor;
        let tokens = job.tokens;
        self.running += 1;
        self.current = Some(job);
        Some(Prefill { time, tokens, cached })
    }

    /// Ends the running prefill and caches its blocks.
    pub(super) fn finish(&mut self) -> Option<Job> {
        let job = self.current.take()?;
        for block in &job.blocks {
            self.clock += 1;
            self.cache.insert(*block, self.clock);
        }
        if self.cache.len() > CACHE {
            let mut uses: Vec<u64> = self.cache.values().copied().collect();
            let surplus = uses.len() - CACHE;
            let (_, oldest, _) = uses.select_nth_unstable(surplus);
            let oldest = *oldest;
            self.cache.retain(|_, used| *used >= oldest);
        }
        Some(job)
    }

    pub(super) fn load(&self) -> Load {
        let waiting = self.queue.iter().chain(&self.current);
        Load {
            running: self.running as u32,
            queued: self.queue.len() as u32,
            prefill: waiting.map(|job| job.tokens).sum(),
            cold: self.cold,
        }
    }
}

impl From<Load> for wire::Report {
    fn from(load: Load) -> wire::Report {
        let limit = if load.cold { COLD_LIMIT } else { LIMIT } as u32;
        let is_full = load.running >= limit;
        let wait = if is_full { u64::from(load.queued + 1) * PLACE_GAP } else { 0 };
        wire::Report {
            running: load.running,
            queued: load.queued,
            limit,
            prefill: load.prefill,
            first_token: Duration::from_millis(wait),
            cold: load.cold,
            leaving: false,
        }
    }
}
