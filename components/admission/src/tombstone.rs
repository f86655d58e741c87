//! Attempts that must be refused if they arrive late.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use wire::Cancel;

/// How long a cancelled attempt is remembered.
const KEEP: Duration = Duration::from_secs(120);
/// Most cancelled attempts that are remembered.
const LIMIT: usize = 65_536;

/// Cancelled attempts, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    order: VecDeque<(Duration, Cancel)>,
    known: HashMap<Cancel, Duration>,
}

impl Seen {
    /// Remembers an attempt.
    pub fn insert(&mut self, now: Duration, attempt: Cancel) {
        self.expire(now);
        if self.known.insert(attempt, now).is_none() {
            self.order.push_back((now, attempt));
        }
    }

    /// Whether the attempt is remembered.
    pub fn contains(&self, attempt: &Cancel) -> bool {
        self.known.contains_key(attempt)
    }

    fn expire(&mut self, now: Duration) {
        while let Some((since, attempt)) = self.order.front().copied() {
            let old = now.saturating_sub(since) > KEEP;
            if !old && self.order.len() < LIMIT {
                return;
            }
            self.order.pop_front();
            self.known.remove(&attempt);
        }
    }
}
