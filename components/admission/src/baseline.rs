//! Baselines for [`crate::limit`] and [`crate::queue`]: a fixed limit, no limit,
//! and one shared queue.

use std::collections::VecDeque;
use std::time::Duration;

use crate::queue::{Full, Item};

/// Returns a limit that never changes.
pub fn fixed(limit: u32) -> u32 {
    limit
}

/// Returns the largest limit, which never takes effect.
///
/// ```
/// assert_eq!(admission::baseline::unlimited(), u32::MAX);
/// ```
pub fn unlimited() -> u32 {
    u32::MAX
}

/// One first-in, first-out queue for all accounts and classes.
#[derive(Clone, Debug)]
pub struct Fifo {
    capacity: usize,
    items: VecDeque<Item>,
}

impl Fifo {
    /// Creates an empty queue of `capacity` places.
    pub fn new(capacity: usize) -> Fifo {
        Fifo { capacity, items: VecDeque::new() }
    }

    /// Queues a request, or refuses it if the queue is full.
    pub fn push(&mut self, _now: Duration, item: Item) -> Result<(), Full> {
        if self.items.len() >= self.capacity {
            return Err(Full::Queue);
        }
        self.items.push_back(item);
        Ok(())
    }

    /// Removes and returns the request that has waited longest.
    pub fn pop(&mut self, _now: Duration) -> Option<Item> {
        self.items.pop_front()
    }
}
