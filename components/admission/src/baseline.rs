//! Simple ways of admitting, to measure [`crate::limit`] and [`crate::queue`]
//! by: a fixed limit, none, and one queue for all.

use std::collections::VecDeque;
use std::time::Duration;

use crate::queue::{Full, Item};

/// A limit that never changes.
pub fn fixed(most: u32) -> u32 {
    most
}

/// No limit.
///
/// ```
/// assert_eq!(admission::baseline::unlimited(), u32::MAX);
/// ```
pub fn unlimited() -> u32 {
    u32::MAX
}

/// First in, first out, for all accounts and classes together.
#[derive(Clone, Debug)]
pub struct Fifo {
    most: usize,
    items: VecDeque<Item>,
}

impl Fifo {
    /// An empty queue of `most` places.
    pub fn new(most: usize) -> Fifo {
        Fifo { most, items: VecDeque::new() }
    }

    /// Lets a request wait.
    pub fn push(&mut self, _now: Duration, item: Item) -> Result<(), Full> {
        if self.items.len() >= self.most {
            return Err(Full::Queue);
        }
        self.items.push_back(item);
        Ok(())
    }

    /// Takes the request that has waited longest.
    pub fn pop(&mut self, _now: Duration) -> Option<Item> {
        self.items.pop_front()
    }
}
