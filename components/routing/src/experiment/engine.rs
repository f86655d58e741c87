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
const PREFILL_US_PER_TOKEN: u64 = 50;
/// Factor by which prefill is slower on a cold engine.
const COLD_SLOWDOWN: u64 = 3;
/// Capacity of the prefix cache, in blocks.
const CACHE_BLOCKS: usize = 600;
/// Mean time between two slots becoming free on a saturated warm engine.
const SLOT_INTERVAL_MS: u64 = 2_000 / LIMIT as u64;

/// A queued or running request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Job {
    pub(super) entry: usize,
    pub(super) arrived_us: u64,
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
    pub(super) time_us: u64,
    pub(super) tokens: u32,
    pub(super) cached: u32,
}

pub(super) struct Engine {
    cold: bool,
    pub(super) running: usize,
    pub(super) queue: VecDeque<Job>,
    pub(super) longest_queue: usize,
    current: Option<Job>,
    cache: HashMap<u64, u64>,
    use_count: u64,
}

impl Engine {
    pub(super) fn new(cold: bool) -> Engine {
        Engine {
            cold,
            running: 0,
            queue: VecDeque::new(),
            longest_queue: 0,
            current: None,
            cache: HashMap::new(),
            use_count: 0,
        }
    }

    fn limit(&self) -> usize {
        if self.cold { COLD_LIMIT } else { LIMIT }
    }

    /// Starts the next prefill if a slot is free.
    pub(super) fn start(&mut self) -> Option<Prefill> {
        self.longest_queue = self.longest_queue.max(self.queue.len());
        if self.current.is_some() || self.running >= self.limit() {
            return None;
        }
        let job = self.queue.pop_front()?;
        let cached_blocks =
            job.blocks.iter().take_while(|block| self.cache.contains_key(block)).count();
        let cached = cached_blocks as u32 * BLOCK_TOKENS;
        let slowdown = if self.cold { COLD_SLOWDOWN } else { 1 };
        let time_us = u64::from(job.tokens - cached) * PREFILL_US_PER_TOKEN * slowdown;
        let tokens = job.tokens;
        self.running += 1;
        self.current = Some(job);
        Some(Prefill { time_us, tokens, cached })
    }

    /// Ends the running prefill and caches its blocks.
    pub(super) fn finish(&mut self) -> Option<Job> {
        let job = self.current.take()?;
        for block in &job.blocks {
            self.use_count += 1;
            self.cache.insert(*block, self.use_count);
        }
        if self.cache.len() > CACHE_BLOCKS {
            let mut uses: Vec<u64> = self.cache.values().copied().collect();
            let surplus = uses.len() - CACHE_BLOCKS;
            let (_, oldest_kept, _) = uses.select_nth_unstable(surplus);
            let oldest_kept = *oldest_kept;
            self.cache.retain(|_, used| *used >= oldest_kept);
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
        let wait_ms = if is_full { u64::from(load.queued + 1) * SLOT_INTERVAL_MS } else { 0 };
        wire::Report {
            running: load.running,
            queued: load.queued,
            limit,
            prefill: load.prefill,
            first_token: Duration::from_millis(wait_ms),
            cold: load.cold,
            leaving: false,
        }
    }
}
