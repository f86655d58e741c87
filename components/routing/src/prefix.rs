//! Estimates which prompt prefixes each backend server has in its cache.
//!
//! A block's hash covers all bytes up to its end, so one cached block implies
//! all blocks before it, and a lost cache event has little effect.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tables::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of a block of a request's body, in bytes.
pub const BLOCK_SIZE: usize = 512;
/// Most leading blocks of a body that are hashed.
pub const BLOCK_LIMIT: usize = 64;
/// Most pairs of block and backend server that are kept.
pub const HOLDER_LIMIT: usize = 65_536;
/// Time since the last use after which a block counts as evicted.
pub const EXPIRY: Duration = Duration::from_secs(300);

/// The blocks estimated to be cached, with the backend servers that hold them.
#[derive(Clone, Debug, Default)]
pub struct Prefix {
    holders: HashMap<u64, Vec<Holder>>,
    order: VecDeque<(u64, Name, Duration)>,
}

#[derive(Clone, Debug)]
struct Holder {
    server: Name,
    last_used: Duration,
}

impl Prefix {
    /// The hashes of a body's leading blocks, each covering all bytes before it.
    ///
    /// ```
    /// let blocks = routing::prefix::Prefix::blocks(&[7; 1200]);
    /// assert_eq!(blocks.len(), 2);
    /// ```
    pub fn blocks(body: &[u8]) -> Vec<u64> {
        let chunks = body.chunks_exact(BLOCK_SIZE).take(BLOCK_LIMIT);
        chunks
            .scan(0, |seed, chunk| {
                *seed = xxh3_64_with_seed(chunk, *seed);
                Some(*seed)
            })
            .collect()
    }

    /// The estimated share of the blocks, 0 to 1, that a server has cached.
    pub fn hit(&self, now: Duration, server: &str, blocks: &[u64]) -> f64 {
        let last_held = blocks.iter().rposition(|block| self.is_held(now, server, *block));
        last_held.map_or(0.0, |i| (i + 1) as f64 / blocks.len() as f64)
    }

    /// The estimated shares, 0 to 1, of all servers that hold any of the blocks.
    pub fn shares(&self, now: Duration, blocks: &[u64]) -> HashMap<Name, f64> {
        let mut shares = HashMap::new();
        for (i, block) in blocks.iter().enumerate() {
            let share = (i + 1) as f64 / blocks.len() as f64;
            for holder in self.holders.get(block).into_iter().flatten() {
                if holder.is_live(now) {
                    shares.insert(holder.server.clone(), share);
                }
            }
        }
        shares
    }

    /// Records that a server caches the blocks, or will once it has run the prompt.
    pub fn record(&mut self, now: Duration, server: &Name, blocks: &[u64]) {
        for block in blocks {
            let holders = self.holders.entry(*block).or_default();
            match holders.iter_mut().find(|holder| holder.server == *server) {
                Some(holder) => holder.last_used = now,
                None => {
                    holders.push(Holder { server: server.clone(), last_used: now });
                    self.order.push_back((*block, server.clone(), now));
                }
            }
        }
        self.evict(now);
    }

    /// Removes all blocks of a restarted server.
    pub fn remove_server(&mut self, server: &str) {
        self.order.retain(|(_, holder, _)| holder != server);
        self.holders.retain(|_, holders| {
            holders.retain(|holder| holder.server != server);
            !holders.is_empty()
        });
    }

    /// The number of pairs of block and backend server.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no block is recorded.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn is_held(&self, now: Duration, server: &str, block: u64) -> bool {
        let holders = self.holders.get(&block).into_iter().flatten();
        holders.filter(|holder| holder.server == server).any(|holder| holder.is_live(now))
    }

    /// Evicts expired holders and, above the limit, the least recently used: one
    /// that was used since it was queued is queued again (second chance).
    fn evict(&mut self, now: Duration) {
        while let Some((block, server, queued)) = self.order.pop_front() {
            let Some(last_used) = self.last_used(block, &server) else {
                continue;
            };
            let over = self.order.len() >= HOLDER_LIMIT;
            if last_used > queued {
                self.order.push_back((block, server, last_used));
                continue;
            }
            if !over && now.saturating_sub(queued) < EXPIRY {
                self.order.push_front((block, server, queued));
                return;
            }
            self.remove(block, &server);
        }
    }

    fn last_used(&self, block: u64, server: &str) -> Option<Duration> {
        let holders = self.holders.get(&block)?;
        holders.iter().find(|holder| holder.server == server).map(|holder| holder.last_used)
    }

    fn remove(&mut self, block: u64, server: &str) {
        let Some(holders) = self.holders.get_mut(&block) else {
            return;
        };
        holders.retain(|holder| holder.server != server);
        if holders.is_empty() {
            self.holders.remove(&block);
        }
    }
}

impl Holder {
    fn is_live(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_used) < EXPIRY
    }
}
