//! The prefix cache: blocks of prompts, kept in limited memory.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::{CacheChange, CacheEvent};

/// Tokens of a block.
pub const BLOCK: usize = 16;
/// Most events that are kept for readers.
const EVENTS: usize = 16_384;

/// Blocks by the hash of the whole prefix that ends with them, with the events
/// that tell others about them.
#[derive(Debug, Default)]
pub struct Cache {
    limit: usize,
    loss: f64,
    turn: u64,
    used: HashMap<u64, u64>,
    number: u64,
    events: VecDeque<(Duration, CacheEvent)>,
}

impl Cache {
    /// An empty cache for `tokens` tokens that loses a share of its events.
    pub fn new(tokens: usize, loss: f64) -> Self {
        Self { limit: tokens / BLOCK, loss, ..Self::default() }
    }

    /// Tokens held.
    pub fn tokens(&self) -> u64 {
        (self.used.len() * BLOCK) as u64
    }

    /// Tokens at the start of a prompt that are cached, from its blocks.
    pub fn cached(&self, blocks: &[u64]) -> u32 {
        let known = blocks.iter().take_while(|block| self.used.contains_key(block));
        (known.count() * BLOCK) as u32
    }

    /// Keeps the blocks of a prompt, the least recently used ones going first.
    pub fn store(&mut self, now: Duration, blocks: &[u64], rng: &mut ChaCha8Rng) {
        for block in blocks.iter().take(self.limit) {
            self.turn += 1;
            if self.used.insert(*block, self.turn).is_none() {
                self.tell(now, *block, CacheChange::Stored, rng);
            }
            if self.used.len() > self.limit {
                self.evict(now, rng);
            }
        }
    }

    /// Events above number `since` that happened by `until`.
    pub fn events(&self, since: u64, until: Duration) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(at, event)| *at <= until && event.number > since);
        visible.map(|(_, event)| *event).collect()
    }

    fn evict(&mut self, now: Duration, rng: &mut ChaCha8Rng) {
        let oldest = self.used.iter().min_by_key(|(_, turn)| **turn);
        let Some(block) = oldest.map(|(block, _)| *block) else { return };
        self.used.remove(&block);
        self.tell(now, block, CacheChange::Evicted, rng);
    }

    fn tell(&mut self, now: Duration, block: u64, change: CacheChange, rng: &mut ChaCha8Rng) {
        self.number += 1;
        if rng.random_bool(self.loss) {
            return;
        }
        self.events.push_back((now, CacheEvent { number: self.number, block, change }));
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}

/// The hashes of all whole blocks of a prompt, each covering what precedes it.
///
/// ```
/// use lab::engine::blocks;
/// let words = "a ".repeat(40);
/// assert_eq!(blocks(&words).len(), 2);
/// assert_eq!(blocks(&words)[0], blocks(&"a ".repeat(16))[0]);
/// ```
pub fn blocks(prompt: &str) -> Vec<u64> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut prefix = 0;
    let mut hashes = Vec::with_capacity(words.len() / BLOCK);
    for block in words.chunks_exact(BLOCK) {
        prefix = xxh3_64_with_seed(block.join(" ").as_bytes(), prefix);
        hashes.push(prefix);
    }
    hashes
}
