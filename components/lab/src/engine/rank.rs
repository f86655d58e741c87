//! The engine as one rank of a lock-step group.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::message::{Prepare, Step, Steps};

/// Most steps kept in the record.
const RECORD: usize = 100_000;
/// Most orders that wait.
const ORDERS: usize = 1024;

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "refused")]
pub enum Refusal {
    /// A higher fencing number was seen.
    #[error("fencing number {highest} was seen")]
    Fenced {
        /// That number.
        highest: u64,
    },
    /// The expert map isn't loaded.
    #[error("expert map {map} isn't prepared")]
    Unprepared {
        /// The version asked for.
        map: u64,
    },
    /// Too many orders wait.
    #[error("too many orders wait")]
    Full,
}

/// Fencing, expert maps, and the steps run and to be run.
#[derive(Debug)]
pub struct Rank {
    fencing: bool,
    interval: Duration,
    highest: u64,
    maps: BTreeSet<u64>,
    orders: VecDeque<Steps>,
    next: u64,
    running: Option<(Duration, Step)>,
    record: VecDeque<Step>,
}

impl Rank {
    /// A rank that takes `interval` for a step and obeys fencing numbers or
    /// ignores them.
    pub fn new(interval: Duration, fencing: bool) -> Self {
        Self {
            fencing,
            interval,
            highest: 0,
            maps: BTreeSet::new(),
            orders: VecDeque::new(),
            next: 0,
            running: None,
            record: VecDeque::new(),
        }
    }

    /// Loads an expert map beside those loaded; idempotent.
    pub fn prepare(&mut self, order: &Prepare) -> Result<(), Refusal> {
        self.fence(order.fence)?;
        self.maps.insert(order.map);
        Ok(())
    }

    /// Queues steps. They run in the order in which they came, those that ran
    /// already left out; waiting steps under lower fencing numbers go. A rank
    /// that ignores fencing numbers does neither.
    pub fn run(&mut self, now: Duration, order: Steps) -> Result<(), Refusal> {
        self.fence(order.fence)?;
        if !self.maps.contains(&order.map) {
            return Err(Refusal::Unprepared { map: order.map });
        }
        if self.orders.len() == ORDERS {
            return Err(Refusal::Full);
        }
        if self.fencing {
            self.orders.retain(|waiting| waiting.fence == order.fence);
        }
        self.orders.push_back(order);
        self.begin(now);
        Ok(())
    }

    /// Runs what is due by `now`.
    pub fn advance(&mut self, now: Duration) {
        while let Some((end, step)) = self.running.filter(|(end, _)| *end <= now) {
            self.record.push_back(step);
            if self.record.len() > RECORD {
                self.record.pop_front();
            }
            self.running = None;
            self.begin(end);
        }
    }

    /// When the running step ends.
    pub fn due(&self) -> Option<Duration> {
        self.running.map(|(end, _)| end)
    }

    /// The step that runs next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The highest fencing number seen.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Steps run, from step `since` on.
    pub fn record(&self, since: u64) -> Vec<Step> {
        self.record.iter().filter(|step| step.step >= since).copied().collect()
    }

    fn fence(&mut self, number: u64) -> Result<(), Refusal> {
        if self.fencing && number < self.highest {
            return Err(Refusal::Fenced { highest: self.highest });
        }
        self.highest = self.highest.max(number);
        Ok(())
    }

    fn begin(&mut self, now: Duration) {
        if self.running.is_some() {
            return;
        }
        while let Some(order) = self.orders.front_mut() {
            if self.fencing {
                order.from = order.from.max(self.next);
            }
            if order.from >= order.to {
                self.orders.pop_front();
                continue;
            }
            let step = Step { step: order.from, map: order.map, fence: order.fence };
            order.from += 1;
            self.next = order.from;
            self.running = Some((now + self.interval, step));
            return;
        }
    }
}
