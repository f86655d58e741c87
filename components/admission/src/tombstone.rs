//! Attempts to refuse if a copy of them arrives later.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use wire::Cancel;

/// Retention period of a tombstone.
const RETENTION: Duration = Duration::from_secs(120);
const MAX_TOMBSTONES: usize = 65_536;

/// Attempts that were cancelled, refused or removed, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Tombstones {
    order: VecDeque<(Duration, Cancel)>,
    recorded_at: HashMap<Cancel, Duration>,
}

impl Tombstones {
    /// Adds an attempt and evicts expired ones.
    pub fn insert(&mut self, now: Duration, attempt: Cancel) {
        self.expire(now);
        if self.recorded_at.insert(attempt, now).is_none() {
            self.order.push_back((now, attempt));
        }
    }

    pub fn contains(&self, attempt: &Cancel) -> bool {
        self.recorded_at.contains_key(attempt)
    }

    fn expire(&mut self, now: Duration) {
        while let Some((recorded, attempt)) = self.order.front().copied() {
            let outdated = now.saturating_sub(recorded) > RETENTION;
            if !outdated && self.order.len() < MAX_TOMBSTONES {
                return;
            }
            self.order.pop_front();
            self.recorded_at.remove(&attempt);
        }
    }
}
